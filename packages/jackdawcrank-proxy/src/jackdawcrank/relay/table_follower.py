"""Following a table of the store through its troubles."""

import asyncio
import random
import typing
from collections.abc import Callable

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.store_health import StoreHealth
from jackdawcrank.seams.metadata_store import (
    HistoryGone,
    MetadataStore,
    StoredRow,
    StoreFailure,
    TableChanges,
    TableImage,
)
from jackdawcrank_policy.retry.backoff import backoff_seconds

# A store that is back must be noticed well within the bound of a
# configuration (3 s).
MAX_BACKOFF_SECONDS = 0.5
INITIAL_BACKOFF_SECONDS = 0.1
# Changes come in groups, as servers start or configurations follow each other;
# one call then fetches several. A tenth of the bound of a configuration.
COALESCE_SECONDS = 0.3
# How soon a table that nobody else vouches for any more is followed here.
IDLE_POLL_SECONDS = 0.2


class TableObserver(typing.Protocol):
    """Is told what a follower has learned, to pass it on."""

    def image_applied(self, follower: "TableFollower") -> None:
        """Take in that a table was read anew.

        Args:
          follower: Holds its rows.
        """

    def changes_applied(
        self, follower: "TableFollower", after: int, changes: TableChanges
    ) -> None:
        """Take in that a table has changed.

        Args:
          follower: Holds its rows.
          after: The revision that the changes follow.
          changes: The changes.
        """


class TableFollower:
    """Keeps up with a table for as long as the proxy runs.

    It reads the table and waits for changes, unless other proxies vouch that
    they tell all of them.

    Attributes:
      table: The table.
      rows: Its rows by key.
      revision: The store's version up to which changes are known; None before
        the first image.
      last_change_revision: The version of the latest news.
      must_read: Whether the table must be read before it can be followed.
      needed: Tells whether this process needs the table.
      has_upstreams: Tells whether others vouch for this one's rows.
      store_health: Told of every answer and failure.
      observer: Told of what is new here.
      failures: Failures in a row.
    """

    def __init__(
        self,
        store: MetadataStore,
        table: str,
        wait_seconds: float,
        discovery_seconds: float,
        on_image: Callable[[TableImage], None],
        on_changes: Callable[[TableChanges], None],
        store_health: StoreHealth,
        log: DecisionLog,
        rng: random.Random,
        needed: Callable[[], bool],
    ) -> None:
        self.needed = needed
        self.store = store
        self.table = table
        self.wait_seconds = wait_seconds
        self.discovery_seconds = discovery_seconds
        self.on_image = on_image
        self.on_changes = on_changes
        self.store_health = store_health
        self.log = log
        self.rng = rng
        self.has_upstreams: Callable[[str], bool] = lambda _table: False
        self.observer: TableObserver | None = None
        self.rows: dict[str, StoredRow] = {}
        self.revision: int | None = None
        self.last_change_revision = 0
        self.must_read = True
        self.store_offset = 0.0
        self.discovery_ends_at = 0.0
        self.failures = 0
        self.loop = asyncio.get_running_loop()
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to follow."""
        self.discovery_ends_at = self.loop.time() + self.discovery_seconds
        self.task = asyncio.create_task(self.run())

    async def close(self) -> None:
        """Stop following."""
        if self.task:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def active(self) -> bool:
        """Return whether changes come from the store itself."""
        return (
            self.revision is not None
            and not self.store_health.lost
            and not self.idle()
        )

    def idle(self) -> bool:
        """Return whether following the store would be of no use."""
        if not self.needed():
            return True
        return not self.must_read and self.has_upstreams(self.table)

    async def run(self) -> None:
        """Follow until closed."""
        while True:
            if self.idle():
                if self.has_upstreams(self.table):
                    # The store is there, or nobody would vouch.
                    self.store_health.record_success()
                await asyncio.sleep(IDLE_POLL_SECONDS)
            elif self.revision is None or self.must_read:
                await self.read()
            elif self.loop.time() < self.discovery_ends_at:
                # Others may be found in this time that follow it anyway.
                await asyncio.sleep(IDLE_POLL_SECONDS)
            else:
                await self.follow(self.revision)

    async def read(self) -> None:
        """Read the whole table."""
        image = await self.store.read_table(self.table)
        if isinstance(image, StoreFailure):
            await self.failed(image)
            return
        self.answered()
        self.apply_image(image)

    async def follow(self, revision: int) -> None:
        """Wait for the next changes.

        Args:
          revision: The version up to which changes are known.
        """
        changes = await self.store.follow(
            self.table, revision, self.wait_seconds
        )
        if isinstance(changes, StoreFailure):
            await self.failed(changes)
            return
        self.answered()
        if isinstance(changes, HistoryGone):
            self.log.event("history_gone", table=self.table, after=revision)
            self.must_read = True
            return
        self.apply_changes(changes)
        if changes.rows or changes.removed:
            await asyncio.sleep(COALESCE_SECONDS)

    def apply_image(self, image: TableImage) -> None:
        """Take in the whole table, read here or told by another proxy.

        Args:
          image: Its rows; ignored if something newer is known.
        """
        self.must_read = False
        if self.revision is not None and image.revision <= self.revision:
            return
        self.store_offset = image.store_seconds - self.loop.time()
        self.rows = {row.key: row for row in image.rows}
        self.revision = self.last_change_revision = image.revision
        self.on_image(image)
        if self.observer is not None:
            self.observer.image_applied(self)

    def apply_changes(self, changes: TableChanges) -> None:
        """Take in changes, read here or told by another proxy.

        Args:
          changes: All changes since a revision that is known here.
        """
        if self.revision is None or changes.revision <= self.revision:
            return
        self.revision = changes.revision
        if not changes.rows and not changes.removed:
            return
        after, self.last_change_revision = (
            self.last_change_revision,
            changes.revision,
        )
        for key in changes.removed:
            self.rows.pop(key, None)
        self.rows.update((row.key, row) for row in changes.rows)
        self.on_changes(changes)
        if self.observer is not None:
            self.observer.changes_applied(self, after, changes)

    def advance_revision(self, revision: int) -> None:
        """Take in that nothing else has changed up to a revision.

        Args:
          revision: The store's version.
        """
        if self.revision is not None:
            self.revision = max(self.revision, revision)

    def image(self) -> TableImage | None:
        """Return the table as it is known here; None before the first read."""
        if self.revision is None:
            return None
        return TableImage(
            tuple(self.rows.values()),
            self.last_change_revision,
            self.store_seconds(),
        )

    def store_seconds(self) -> float:
        """Return about what the store's steady clock shows."""
        return self.loop.time() + self.store_offset

    def answered(self) -> None:
        """Take in that the store is there."""
        self.store_health.record_success()
        self.failures = 0

    async def failed(self, failure: StoreFailure) -> None:
        """Wait before the next try."""
        self.store_health.record_failure(f"{self.table}: {failure.detail}")
        pause = backoff_seconds(
            self.failures,
            self.rng,
            INITIAL_BACKOFF_SECONDS,
            MAX_BACKOFF_SECONDS,
        )
        self.failures += 1
        await asyncio.sleep(pause)
