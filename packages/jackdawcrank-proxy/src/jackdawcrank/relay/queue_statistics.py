"""Counts the statements that wait for a server or are refused there."""

import collections
from collections.abc import Iterable, Mapping

import attrs

# Statements that get a connection and the limiter at once take some
# microseconds; nobody looks for waits that are shorter than this.
MIN_WAIT_SECONDS = 0.001
# Bounds the memory of a server. Customers have about 90 accounts and 3
# priorities, so that nothing is lost at these.
MAX_TRACKED = 400
SHOWN_ACCOUNTS = 10
# The account under which all others are counted.
OTHER_ACCOUNTS = "*"

Key = tuple[int, str]


@attrs.define
class QueueCount:
    """What became of the statements of one priority and account at a server.

    Attributes:
      waited: Statements that waited, whatever became of them.
      longest_seconds: Their longest wait.
      total_seconds: The sum of their waits.
      refused: Statements refused because the wait limit passed or would pass.
      full: Statements, or connections for them, that the server refused
        because it was full.
    """

    waited: int = 0
    longest_seconds: float = 0.0
    total_seconds: float = 0.0
    refused: int = 0
    full: int = 0

    def add(self, other: "QueueCount") -> None:
        """Add another count to this one.

        Args:
          other: The other count.
        """
        self.waited += other.waited
        self.longest_seconds = max(self.longest_seconds, other.longest_seconds)
        self.total_seconds += other.total_seconds
        self.refused += other.refused
        self.full += other.full

    def activity(self) -> int:
        """Return by what the busiest accounts are found."""
        return self.waited + self.refused + self.full

    def fields(self) -> dict[str, float]:
        """Return the count as fields of `server_queue`."""
        mean_seconds = self.total_seconds / self.waited if self.waited else 0.0
        return {
            "waited": self.waited,
            "longest_ms": round(self.longest_seconds * 1_000, 1),
            "mean_ms": round(mean_seconds * 1_000, 1),
            "refused": self.refused,
            "full": self.full,
        }


class QueueStatistics:
    """Counts the waits and refusals at one server since the last report.

    A statement that waits for a connection and then for the limiter counts as
    one wait. Nothing is stored for statements that neither waited nor were
    refused.

    Attributes:
      counts: The counts by priority and account, at most `MAX_TRACKED`; more
        accounts are counted as `OTHER_ACCOUNTS`.
    """

    def __init__(self) -> None:
        self.counts: dict[Key, QueueCount] = {}

    def admission_ended(
        self,
        priority: int,
        account: str,
        seconds: float,
        refused: bool,
        full: bool = False,
    ) -> None:
        """Count the end of a statement's wait for a server, if it waited.

        Args:
          priority: The priority of the statement.
          account: Its client account; empty for none.
          seconds: The time from its request to its admission or refusal.
          refused: Whether the wait limit passed, or would pass.
          full: Whether there was no connection because the server was full.
        """
        waited = seconds >= MIN_WAIT_SECONDS
        if not (waited or refused or full):
            return
        count = self.count_of(priority, account)
        count.refused += refused
        count.full += full
        if waited:
            count.waited += 1
            count.total_seconds += seconds
            count.longest_seconds = max(count.longest_seconds, seconds)

    def refused_by_server(self, priority: int, account: str) -> None:
        """Count a statement that the server refused because it was full.

        Args:
          priority: The priority of the statement.
          account: Its client account; empty for none.
        """
        self.count_of(priority, account).full += 1

    def count_of(self, priority: int, account: str) -> QueueCount:
        """Return the count of a priority and account."""
        count = self.counts.get((priority, account))
        if count is not None:
            return count
        if len(self.counts) >= MAX_TRACKED:
            account = OTHER_ACCOUNTS
        return self.counts.setdefault((priority, account), QueueCount())

    def take(self) -> dict[Key, QueueCount]:
        """Return the counts since the last call and start again."""
        counts, self.counts = self.counts, {}
        return counts


def activity(counts: Mapping[Key, QueueCount]) -> int:
    """Return the number of waits and refusals at a server."""
    return sum(one.activity() for one in counts.values())


def merge_accounts(
    counts: Mapping[Key, QueueCount], shown: int
) -> dict[Key, QueueCount]:
    """Return counts in which only the busiest accounts are separate.

    Args:
      counts: The counts by priority and account.
      shown: How many accounts stay separate, over all priorities; counts
        without an account stay so in any case.
    """
    busy: collections.Counter[str] = collections.Counter()
    for (_, account), count in counts.items():
        if account not in ("", OTHER_ACCOUNTS):
            busy[account] += count.activity()
    kept = {"", *busiest(busy, shown)}
    merged: dict[Key, QueueCount] = {}
    for (priority, account), count in counts.items():
        key = (priority, account if account in kept else OTHER_ACCOUNTS)
        merged.setdefault(key, QueueCount()).add(count)
    return merged


def busiest(busy: Mapping[str, int], shown: int) -> Iterable[str]:
    """Return the names with the largest numbers, in a fixed order."""
    return sorted(busy, key=lambda name: (-busy[name], name))[:shown]
