"""The connections that VMs may open to one group's servers."""

import attrs

from jackdawcrank_policy.budget.seats import SEATS, seat_share

LINGER_SECONDS = 10.0


@attrs.define
class BudgetLedger:
    """The seats of a group as one VM has applied them.

    A VM uses the share of the seat that the newest row it has applied gives
    it, and none if it has none. It releases a lost seat by closing its
    connections first and saying so afterwards, with the row's version.

    Attributes:
      limit: Connections that the whole group accepts.
      started_at: When this process began, whose predecessor under the same
        name may have left connections behind.
      linger: Seconds for which a dead process's connections may stay open.
      version: The change log's version of the newest row applied.
      writers: That row's writers, by seat.
      inherited: Whether the first row applied named this VM already.
    """

    limit: int
    started_at: float = 0.0
    linger: float = LINGER_SECONDS
    version: int = -1
    writers: tuple[str, ...] = ()
    inherited: frozenset[str] = frozenset()

    def apply(self, writers: tuple[str, ...], version: int, now: float) -> None:
        """Take over a row; one older than the newest is ignored.

        Args:
          writers: The row's writers, by seat.
          version: The change log's version that wrote it.
          now: The current time.
        """
        if version <= self.version:
            return
        if self.version < 0 and now < self.started_at + self.linger:
            self.inherited = frozenset(writers)
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

    def part(self, vm: str, limit: int, now: float) -> int:
        """Return a VM's part of some connections."""
        if vm not in self.writers[:SEATS]:
            return 0
        if vm in self.inherited and now < self.started_at + self.linger:
            return 0
        return seat_share(limit, self.writers.index(vm))
