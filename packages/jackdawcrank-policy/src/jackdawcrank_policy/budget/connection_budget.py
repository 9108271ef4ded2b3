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
    """The connection quotas of a group as one VM has applied them.

    A VM uses the quota that the newest row it has applied assigns to it, or no
    connections if that row assigns none. The first row that a process applies
    is read from the store after the process started, so the process never uses
    a quota that its VM had lost by then. A process uses no connections for a
    while after its start, since an earlier process under the same VM name may
    have left connections open.

    Attributes:
      limit: The number of connections that the whole group accepts.
      started_at: When this process started, in seconds.
      stale_connection_seconds: How long the connections of a process that
        has ended may stay open.
      version: The change log version of the newest row applied.
      writers: That row's writers, by quota.
    """

    limit: int
    started_at: float = 0.0
    stale_connection_seconds: float = STALE_CONNECTION_SECONDS
    version: int = -1
    writers: tuple[str, ...] = ()

    def apply(self, writers: tuple[str, ...], version: int, now: float) -> None:
        """Apply a row; ignore it unless it is newer than the last one.

        Args:
          writers: The row's writers, by quota.
          version: The change log version at which the row was written.
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
        """Return how many connections a VM may have open to each server.

        Args:
          vm: The VM's name.
          servers: The number of the group's servers.
          now: The current time.
        """
        return self.owned_share(vm, self.limit // max(1, servers), now)

    def may_release(self, vm: str, now: float) -> bool:
        """Return whether a VM may release its quota in the applied row.

        The VM first closes its connections and then reports the release, with
        `version`, to the coordinator.

        Args:
          vm: The VM's name.
          now: The current time.
        """
        return self.stale_connections_closed(now) and vm in departed_vms(
            self.writers
        )

    def owned_share(self, vm: str, limit: int, now: float) -> int:
        """Return a VM's share of a number of connections."""
        if (
            not self.stale_connections_closed(now)
            or vm not in self.writers[:QUOTA_COUNT]
        ):
            return 0
        return quota_size(limit, self.writers.index(vm))

    def stale_connections_closed(self, now: float) -> bool:
        """Return whether an earlier process can have no connections left."""
        return now >= self.started_at + self.stale_connection_seconds
