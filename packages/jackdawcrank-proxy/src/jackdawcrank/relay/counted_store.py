"""A metadata store whose calls are counted and logged."""

import collections

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.seams.metadata_store import (
    HistoryTrimmed,
    MetadataStore,
    RevisionConflict,
    RowWritten,
    StoreFailure,
    TableChanges,
    TableSnapshot,
)
from jackdawcrank.timer.subscription import Subscription
from jackdawcrank.timer.timer import Timer

# Each process logs one short line in this time, if it made a call at all.
REPORT_SECONDS = 10.0


class CountedStore:
    """Passes calls to a store on and counts them.

    Attributes:
      store: The store.
      log: Counts the calls in its metrics, and records their sums.
      counts: The calls since the last line, by operation and table; calls
        without a usable answer are counted apart.
      subscription: The timer's subscription; None before the start.
    """

    def __init__(self, store: MetadataStore, log: DecisionLog) -> None:
        self.store = store
        self.log = log
        self.counts: collections.Counter[str] = collections.Counter()
        self.subscription: Subscription | None = None

    async def start(self, timer: Timer) -> None:
        """Start to log the number of calls.

        Args:
          timer: Schedules the lines.
        """
        self.subscription = timer.subscribe(
            "store calls", REPORT_SECONDS, self.report
        )

    async def close(self) -> None:
        """Log the last calls and stop."""
        if self.subscription:
            self.subscription.close()
        await self.report(0.0)

    async def report(self, _now: float) -> None:
        """Log the calls since the last line, if there were any.

        Args:
          _now: The timer's time in seconds; not used.
        """
        if self.counts:
            calls, self.counts = dict(self.counts), collections.Counter()
            self.log.event("store_calls", calls=calls)

    def count(self, operation: str, table: str, failed: bool) -> None:
        """Count a call."""
        name = f"{operation} {table}"
        self.counts[f"{name} failed" if failed else name] += 1
        self.log.measurements.store_called(operation, table, failed)

    async def read_table(
        self, table: str, key: str | None = None
    ) -> TableSnapshot | StoreFailure:
        """Return a table's rows.

        Args:
          table: The table.
          key: The key of the only row to return; None for all rows.
        """
        image = await self.store.read_table(table, key)
        self.count("read", table, isinstance(image, StoreFailure))
        return image

    async def follow(
        self, table: str, after: int, wait_seconds: float
    ) -> TableChanges | HistoryTrimmed | StoreFailure:
        """Wait for changes of a table.

        Args:
          table: The table.
          after: The revision after which to return changes.
          wait_seconds: The wait limit, after which an empty result is
            returned.
        """
        changes = await self.store.follow(table, after, wait_seconds)
        self.count("follow", table, isinstance(changes, StoreFailure))
        return changes

    async def replace_row(
        self, table: str, key: str, value: bytes, revision: int
    ) -> RowWritten | RevisionConflict | StoreFailure:
        """Write a row if it is still at the given revision.

        Args:
          table: The table.
          key: The row's key.
          value: The new bytes.
          revision: The required revision; 0 if the row must not exist.
        """
        written = await self.store.replace_row(table, key, value, revision)
        self.count("write", table, isinstance(written, StoreFailure))
        return written
