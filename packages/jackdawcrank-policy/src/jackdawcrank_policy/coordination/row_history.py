"""What one VM knows of how a group's row came to be."""

import attrs

from jackdawcrank_policy.budget import departed_vms, writer_names
from jackdawcrank_policy.lease import LEASE_CLOSING_SECONDS
from jackdawcrank_policy.values import GroupPhase, GroupRow

SEAT_RELEASE_SECONDS = 75.0


@attrs.define
class RowHistory:
    """The newest row of a group and what is known of its writers.

    A VM that left a row's writers may hold the lease for
    `LEASE_CLOSING_SECONDS` after the change; a VM that did not see the change
    counts from when it first saw the row.

    Attributes:
      row: The newest row; None before the first.
      version: The change log's version of the row.
      quick_from: The time from which no VM outside the row's writers can
        hold a lease of an earlier or the present term.
      preparing_since: When a claim above the last open term was first seen;
        every lease of that term has ended `LEASE_CLOSING_SECONDS` later.
      departed_since: When each departed VM was first seen as such.
    """

    row: GroupRow | None = None
    version: int = -1
    quick_from: float = 0.0
    preparing_since: float | None = None
    departed_since: dict[str, float] = attrs.field(factory=dict)

    def observe(
        self, row: GroupRow, version: int, now: float, in_order: bool
    ) -> bool:
        """Take a row; return whether it is newer than the known one.

        Args:
          row: The row.
          version: The change log's version at which it was written.
          now: The present time, in seconds.
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
            self.claim_seen(now)
            return True
        self.preparing_since = None
        if earlier is not None and in_order and _opened(earlier, row):
            self.quick_from = now
        elif not in_order or earlier is None or _shrank(earlier, row):
            self.quick_from = now + LEASE_CLOSING_SECONDS
        return True

    def claim_seen(self, now: float) -> None:
        """Note that a claim above the open term stands in the store.

        Args:
          now: When it was learned, in seconds.
        """
        if self.preparing_since is None:
            self.preparing_since = now

    def freed(self, now: float) -> frozenset[str]:
        """Return the departed VMs whose connections have run out.

        Args:
          now: The present time, in seconds.
        """
        return frozenset(
            vm
            for vm, since in self.departed_since.items()
            if now >= since + SEAT_RELEASE_SECONDS
        )

    def leases_out_at(self) -> float | None:
        """Return when all leases of the last open term have ended, if known."""
        if self.preparing_since is None:
            return None
        return self.preparing_since + LEASE_CLOSING_SECONDS


def _shrank(earlier: GroupRow, row: GroupRow) -> bool:
    return not set(writer_names(earlier.writers)) <= set(row.writers)


def _opened(earlier: GroupRow, row: GroupRow) -> bool:
    """Return whether a term opened between two rows."""
    claimed = earlier.phase is GroupPhase.PREPARING
    return claimed or earlier.term < row.term
