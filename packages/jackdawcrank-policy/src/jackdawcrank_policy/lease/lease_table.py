"""Term leases that one VM holds."""

import math

import attrs

from jackdawcrank_policy.lease.lease_state import LeaseState
from jackdawcrank_policy.values import GroupPhase, GroupRow

LEASE_SECONDS = 3.0
CLOCK_DRIFT = 0.02
LEASE_WAIT_SECONDS = LEASE_SECONDS * (1 + CLOCK_DRIFT)


@attrs.define
class LeaseTable:
    """Leases of one VM on the terms of the groups that it serves.

    One read of the head of the change log renews every lease. `state` and
    `holds` compare the time of an action with the time at which that read was
    sent. Callers have to read the clock and check the lease after their last
    await before the action. Otherwise the process could pause in between and
    act on a lease that has expired meanwhile.

    Attributes:
      vm: The VM that owns the table.
      renewed_at: When the newest renewing read was sent, in seconds.
      version: The log version of the newest change known to be applied.
      rows: The newest row of each group.
      row_versions: The log version at which the row of each group was written.
      given_up: The highest term that was given up, for each group.
    """

    vm: str
    renewed_at: float = -math.inf
    version: int = 0
    rows: dict[str, GroupRow] = attrs.field(factory=dict)
    row_versions: dict[str, int] = attrs.field(factory=dict)
    given_up: dict[str, int] = attrs.field(factory=dict)

    def renew(self, read_sent_at: float, version_applied: int) -> None:
        """Renew all leases from a read of the change log's head.

        Call only after every change up to the returned version is installed.
        A version older than the known one renews nothing.

        Args:
          read_sent_at: A time before the read was sent, in seconds.
          version_applied: The log version that the read returned.
        """
        if version_applied < self.version:
            return
        self.version = version_applied
        self.renewed_at = max(self.renewed_at, read_sent_at)

    def install(self, row: GroupRow, version: int) -> bool:
        """Store a group's row if it is newer and return whether it was.

        A row may be installed before the change log delivers it: it was
        written after every read that has renewed this table.

        Args:
          row: The row.
          version: The log version at which it was written.
        """
        if version <= self.row_versions.get(row.group, -1):
            return False
        self.rows[row.group] = row
        self.row_versions[row.group] = version
        return True

    def give_up(self, group: str, term: int) -> None:
        """Give up the leases on a term and all earlier ones permanently.

        Args:
          group: The group's name.
          term: The highest term that is given up.
        """
        self.given_up[group] = max(term, self.given_up.get(group, 0))

    def forget(self, group: str) -> None:
        """Remove the row of a group that no longer exists."""
        self.rows.pop(group, None)
        self.row_versions.pop(group, None)

    def state(self, group: str, term: int, now: float) -> LeaseState:
        """Return the state of the lease on a term.

        Args:
          group: The group's name.
          term: The term to act for.
          now: The time of the action in seconds, read after the last await
            before it.
        """
        row = self.rows.get(group)
        if row is None or row.phase is not GroupPhase.ACTIVE:
            return LeaseState.CLOSED
        if row.term != term or self.vm not in row.writers:
            return LeaseState.CLOSED
        if self.given_up.get(group, 0) >= term:
            return LeaseState.CLOSED
        if now < self.renewed_at + LEASE_SECONDS:
            return LeaseState.HELD
        return LeaseState.LAPSED

    def holds(self, group: str, term: int, now: float) -> bool:
        """Return whether the lease on a term is held at the time of an action.

        Args:
          group: The group's name.
          term: The term to act for.
          now: The time of the action in seconds, read after the last await
            before it.
        """
        return self.state(group, term, now) is LeaseState.HELD
