"""Changes of a group's row that one VM has observed."""

import attrs

from jackdawcrank_policy.budget import departed_vms, writer_names
from jackdawcrank_policy.lease import LEASE_WAIT_SECONDS
from jackdawcrank_policy.values import GroupPhase, GroupRow

SEAT_RELEASE_SECONDS = 75.0


@attrs.define
class RowHistory:
    """The newest row of a group and the lease expiry of its former writers.

    A VM that was removed from the writers may hold its lease for up to
    `LEASE_WAIT_SECONDS` after the change. A VM that did not observe the change
    counts from the time at which it first observed the row.

    Attributes:
      row: The newest row; None before the first one is observed.
      version: The change log's version of the row.
      removed_writers_expire_at: The time, in seconds, from which no VM
        outside the row's writers can hold a lease of the current or an
        earlier term.
      preparing_since: When a claim above the last open term was first
        observed, in seconds. Every lease of that term has expired
        `LEASE_WAIT_SECONDS` later.
      departed_since: When each departed VM was first observed as departed, in
        seconds.
    """

    row: GroupRow | None = None
    version: int = -1
    removed_writers_expire_at: float = 0.0
    preparing_since: float | None = None
    departed_since: dict[str, float] = attrs.field(factory=dict)

    def observe(
        self, row: GroupRow, version: int, now: float, in_order: bool
    ) -> bool:
        """Record a row if it is newer and return whether it was.

        Args:
          row: The row.
          version: The change log's version at which it was written.
          now: The current time, in seconds.
          in_order: Whether every earlier change of the row was observed.
        """
        if version <= self.version:
            return False
        earlier = self.row
        self.row = row
        self.version = version
        self.departed_since = {
            vm: self.departed_since.get(vm, now)
            for vm in departed_vms(row.writers)
        }
        if row.phase is GroupPhase.PREPARING:
            self.observe_claim(now)
            return True
        self.preparing_since = None
        if earlier is not None and in_order and _term_opened(earlier, row):
            self.removed_writers_expire_at = now
        elif not in_order or earlier is None or _writers_removed(earlier, row):
            self.removed_writers_expire_at = now + LEASE_WAIT_SECONDS
        return True

    def observe_claim(self, now: float) -> None:
        """Record that the store contains a claim above the open term.

        Args:
          now: When the VM learned of the claim, in seconds.
        """
        if self.preparing_since is None:
            self.preparing_since = now

    def freed(self, now: float) -> frozenset[str]:
        """Return the departed VMs whose connections have all ended.

        This is assumed `SEAT_RELEASE_SECONDS` after a VM was first observed as
        departed.

        Args:
          now: The current time, in seconds.
        """
        return frozenset(
            vm
            for vm, since in self.departed_since.items()
            if now >= since + SEAT_RELEASE_SECONDS
        )

    def leases_expire_at(self) -> float | None:
        """Return when all leases of the last open term have expired.

        The time is in seconds, and None if no claim has been observed.
        """
        if self.preparing_since is None:
            return None
        return self.preparing_since + LEASE_WAIT_SECONDS


def _writers_removed(earlier: GroupRow, row: GroupRow) -> bool:
    return not set(writer_names(earlier.writers)) <= set(row.writers)


def _term_opened(earlier: GroupRow, row: GroupRow) -> bool:
    """Return whether a term was opened between two rows."""
    claimed = earlier.phase is GroupPhase.PREPARING
    return claimed or earlier.term < row.term
