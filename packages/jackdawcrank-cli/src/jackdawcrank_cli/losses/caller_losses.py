"""What the callers of each account lost, and what has no lines."""

import collections
from collections.abc import Iterable

import attrs

from jackdawcrank_cli.accounts import find_account_uses
from jackdawcrank_cli.explain.log_lines import LogLine
from jackdawcrank_cli.losses.loss import Loss

KINDS = ("refused", "failed", "in doubt", "slow")


@attrs.frozen
class CallerLosses:
    """The losses of the callers of one database and account, for one reason.

    Attributes:
      database: The database; empty if it is not known.
      account: The client account; empty for none.
      reason: Why; empty if it is not known.
      counts: The number of losses by kind.
    """

    database: str
    account: str
    reason: str
    counts: collections.Counter[str] = attrs.Factory(collections.Counter)

    def rank(self) -> tuple[int, str, str, str]:
        """Return what sorts the most losses first."""
        return (
            -self.counts.total(),
            self.database,
            self.account,
            self.reason,
        )


@attrs.frozen
class WithoutLines:
    """Losses that single lines do not tell of.

    Attributes:
      limited: Refusals over accounts' limits that are only in the sums.
      dropped: Lines of any kind that proxies left out under load.
    """

    limited: int
    dropped: int


def add_up_callers(losses: Iterable[Loss]) -> list[CallerLosses]:
    """Return losses by database, account and reason, the most first.

    Args:
      losses: The losses.
    """
    found: dict[tuple[str, str, str], CallerLosses] = {}
    for one in losses:
        key = (one.database, one.account, one.reason)
        found.setdefault(key, CallerLosses(*key)).counts[one.kind] += 1
    return sorted(found.values(), key=CallerLosses.rank)


def find_without_lines(lines: Iterable[LogLine]) -> WithoutLines:
    """Return the number of losses that have no lines of their own.

    Args:
      lines: The lines of all logs.
    """
    all_lines = list(lines)
    limited = sum(
        max(0, use.summed_limited - use.logged_limited)
        for use in find_account_uses(all_lines)
    )
    dropped = sum(
        count
        for line in all_lines
        if line.event == "lines_dropped"
        and isinstance(count := line.fields.get("count"), int)
    )
    return WithoutLines(limited, dropped)
