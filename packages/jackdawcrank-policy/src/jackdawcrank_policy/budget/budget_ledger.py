"""The connections that VMs may open to one group's servers."""

import attrs

from jackdawcrank_policy.budget.seats import SEATS, departed, seat_share

LINGER_SECONDS = 10.0


@attrs.define
class BudgetLedger:
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
      linger: Seconds for which a dead process's connections may stay open.
      version: The change log's version of the newest row applied.
      writers: That row's writers, by seat.
    """

    limit: int
    started_at: float = 0.0
    linger: float = LINGER_SECONDS
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
        return self.part(vm, self.limit, now)

    def server_share(self, vm: str, servers: int, now: float) -> int:
        """Return how many of them one of the group's servers may have.

        Args:
          vm: The VM's name.
          servers: The number of the group's servers.
          now: The current time.
        """
        return self.part(vm, self.limit // max(1, servers), now)

    def may_release(self, vm: str, now: float) -> bool:
        """Return whether a VM may give up its seat in the applied row.

        The VM closes its connections first, then tells the coordinator,
        with `version`.

        Args:
          vm: The VM's name.
          now: The current time.
        """
        return self.settled(now) and vm in departed(self.writers)

    def part(self, vm: str, limit: int, now: float) -> int:
        """Return a VM's part of some connections."""
        if not self.settled(now) or vm not in self.writers[:SEATS]:
            return 0
        return seat_share(limit, self.writers.index(vm))

    def settled(self, now: float) -> bool:
        """Return whether connections of an earlier process have run out."""
        return now >= self.started_at + self.linger
