"""Counts operations by client account in bounded memory."""

from collections.abc import Iterator

import attrs

# Bounds the series of the metric.
SHOWN_ACCOUNTS = 20
# Candidates for the shown accounts. An account with more than a 200th of all
# operations is always among them (space-saving counter).
TRACKED_ACCOUNTS = 200
# A candidate replaces a shown account once it leads by this many operations,
# so that two accounts with equal load do not take turns.
LEAD_OPERATIONS = 20
# The label of all other accounts.
OTHERS = "others"


@attrs.define
class AccountCount:
    """The count of one tracked account.

    Attributes:
      error: Operations that may belong to accounts tracked before it.
      estimate: Its operations since the start, at most `error` too high.
      shown: Whether it has series of its own.
      outcomes: Operations counted while it was shown, by outcome.
    """

    error: int
    estimate: int
    shown: bool = False
    outcomes: dict[str, int] = attrs.Factory(dict)

    def certain(self) -> int:
        """Return the operations that are certainly its own."""
        return self.estimate - self.error


class AccountCounts:
    """Counts operations by account and outcome for the busiest accounts.

    Each operation is added to exactly one series, that of its account if the
    account is shown, else that of the others; nothing is moved between series.
    So no series ever decreases while it is shown, and an account that is shown
    again continues its series unless it was forgotten in between.

    Attributes:
      tracked: Counts by account, at most `TRACKED_ACCOUNTS`.
      others: Operations of accounts that were not shown, by outcome.
      unknown: Operations without a known account, by outcome.
    """

    def __init__(self) -> None:
        self.tracked: dict[str, AccountCount] = {}
        self.others: dict[str, int] = {}
        self.unknown: dict[str, int] = {}
        self.shown_count = 0

    def add(self, account: str, outcome: str) -> None:
        """Count an operation.

        Args:
          account: The account; empty if it is not known.
          outcome: One of a fixed set of outcomes.
        """
        if not account:
            series = self.unknown
        elif account == OTHERS:
            # Its own series would have the same label as the rest.
            series = self.others
        else:
            count = self.track(account)
            count.estimate += 1
            series = count.outcomes if self.show(count) else self.others
        series[outcome] = series.get(outcome, 0) + 1

    def track(self, account: str) -> AccountCount:
        """Return an account's count; forget the lowest other one if needed."""
        count = self.tracked.get(account)
        if count is not None:
            return count
        error = 0
        if len(self.tracked) >= TRACKED_ACCOUNTS:
            lowest = min(
                (one for one, old in self.tracked.items() if not old.shown),
                key=lambda one: self.tracked[one].estimate,
            )
            error = self.tracked.pop(lowest).estimate
        return self.tracked.setdefault(account, AccountCount(error, error))

    def show(self, count: AccountCount) -> bool:
        """Return whether an account is shown, after showing it if it leads."""
        if count.shown:
            return True
        if self.shown_count < SHOWN_ACCOUNTS:
            self.shown_count += 1
        else:
            weakest = min(
                (one for one in self.tracked.values() if one.shown),
                key=AccountCount.certain,
            )
            if count.certain() <= weakest.certain() + LEAD_OPERATIONS:
                return False
            weakest.shown = False
        count.shown = True
        return True

    def series(self) -> Iterator[tuple[str, str, int]]:
        """Yield account, outcome and number of each series."""
        shown = {
            account: count.outcomes
            for account, count in self.tracked.items()
            if count.shown
        }
        shown |= {"": self.unknown, OTHERS: self.others}
        for account, outcomes in sorted(shown.items()):
            for outcome, number in sorted(outcomes.items()):
                yield account, outcome, number
