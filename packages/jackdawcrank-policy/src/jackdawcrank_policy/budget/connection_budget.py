"""The connections that VMs may open to one group's servers."""

import attrs

from jackdawcrank_policy.budget.quotas import (
    QUOTA_COUNT,
    departed_vms,
    quota_size,
)

STALE_CONNECTION_SECONDS = 10.0


@attrs.define
class ConnectionBudget:
    """The seats of a group as one VM has applied them.

    A VM uses the share of the seat that the newest row it has applied gives
    it, and none if it has none. The first row that a process applies is read
    from the store after the process began, so that it never uses a seat that
    its VM had lost by then. A process that has just begun uses none for a
    while, since one that ran before it under the VM's name may have left
    connections behind.

    Attributes:
      limit: Connections that the whole group accepts.
      started_at: When this process began.
      stale_connection_seconds: Seconds for which a dead process's
        connections may stay open.
      version: The change log's version of the newest row applied.
      writers: That row's writers, by seat.
    """

    limit: int
    started_at: float = 0.0
    stale_connection_seconds: float = STALE_CONNECTION_SECONDS
    version: int = -1
    writers: tuple[str, ...] = ()

    def apply(self, writers: tuple[str, ...], version: int, now: float) -> None:
        """Take over a row; one older than the newest is ignored.

        Args:
          writers: The row's writers, by seat.
          version: The change log's version that wrote it.
          now: The current time.
        """
        if version <= self.version:
            return
        self.version = version
        self.writers = writers

    def share(self, vm: str, now: float) -> int:
        """Return how many connections a VM may have open to the group.

        Args:
          vm: The VM's name.
          now: The current time.
        """
        return self.owned_share(vm, self.limit, now)

    def server_share(self, vm: str, servers: int, now: float) -> int:
        """Return how many of them one of the group's servers may have.

        Args:
          vm: The VM's name.
          servers: The number of the group's servers.
          now: The current time.
        """
        return self.owned_share(vm, self.limit // max(1, servers), now)

    def may_release(self, vm: str, now: float) -> bool:
        """Return whether a VM may give up its seat in the applied row.

        The VM closes its connections first, then tells the coordinator,
        with `version`.

        Args:
          vm: The VM's name.
          now: The current time.
        """
        return self.stale_connections_closed(now) and vm in departed_vms(
            self.writers
        )

    def owned_share(self, vm: str, limit: int, now: float) -> int:
        """Return a VM's part of some connections."""
        if (
            not self.stale_connections_closed(now)
            or vm not in self.writers[:QUOTA_COUNT]
        ):
            return 0
        return quota_size(limit, self.writers.index(vm))

    def stale_connections_closed(self, now: float) -> bool:
        """Return whether connections of an earlier process have run out."""
        return now >= self.started_at + self.stale_connection_seconds
