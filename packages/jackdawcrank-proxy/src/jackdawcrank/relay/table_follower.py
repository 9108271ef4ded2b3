"""Following a table of the store through its troubles."""

import asyncio
import random
import typing
from collections.abc import Callable

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.store_contact import StoreContact
from jackdawcrank.seams.metadata_store import (
    HistoryTrimmed,
    MetadataStore,
    StoredRow,
    StoreFailure,
    TableChanges,
    TableSnapshot,
)
from jackdawcrank_policy.retry.backoff import backoff_seconds

# A store that is back must be noticed well within the bound of a
# configuration (3 s).
LONGEST_PAUSE_SECONDS = 0.5
FIRST_PAUSE_SECONDS = 0.1
# Changes come in groups, as servers start or configurations follow each other;
# one call then fetches several. A tenth of the bound of a configuration.
COALESCE_SECONDS = 0.3
# How soon a table that nobody else vouches for any more is followed here.
UNWANTED_PAUSE_SECONDS = 0.2


class TableNews(typing.Protocol):
    """Is told what a follower has learned, to pass it on."""

    def image_known(self, follower: "TableFollower") -> None:
        """Take in that a table was read anew.

        Args:
          follower: Holds its rows.
        """

    def changes_known(
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
      told_revision: The version of the latest news.
      must_read: Whether the table must be read before it can be followed.
      wanted: Tells whether this process needs the table.
      vouched: Tells whether others vouch for this one's rows.
      contact: Told of every answer and failure.
      news: Told of what is new here.
      failures: Failures in a row.
    """

    def __init__(
        self,
        store: MetadataStore,
        table: str,
        wait_seconds: float,
        settle_seconds: float,
        on_image: Callable[[TableSnapshot], None],
        on_changes: Callable[[TableChanges], None],
        contact: StoreContact,
        log: DecisionLog,
        rng: random.Random,
        wanted: Callable[[], bool],
    ) -> None:
        self.wanted = wanted
        self.store = store
        self.table = table
        self.wait_seconds = wait_seconds
        self.settle_seconds = settle_seconds
        self.on_image = on_image
        self.on_changes = on_changes
        self.contact = contact
        self.log = log
        self.rng = rng
        self.vouched: Callable[[str], bool] = lambda _table: False
        self.news: TableNews | None = None
        self.rows: dict[str, StoredRow] = {}
        self.revision: int | None = None
        self.told_revision = 0
        self.must_read = True
        self.store_offset = 0.0
        self.settled_at = 0.0
        self.failures = 0
        self.loop = asyncio.get_running_loop()
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to follow."""
        self.settled_at = self.loop.time() + self.settle_seconds
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
            and not self.contact.lost
            and not self.idle()
        )

    def idle(self) -> bool:
        """Return whether following the store would be of no use."""
        if not self.wanted():
            return True
        return not self.must_read and self.vouched(self.table)

    async def run(self) -> None:
        """Follow until closed."""
        while True:
            if self.idle():
                if self.vouched(self.table):
                    # The store is there, or nobody would vouch.
                    self.contact.answered()
                await asyncio.sleep(UNWANTED_PAUSE_SECONDS)
            elif self.revision is None or self.must_read:
                await self.read()
            elif self.loop.time() < self.settled_at:
                # Others may be found in this time that follow it anyway.
                await asyncio.sleep(UNWANTED_PAUSE_SECONDS)
            else:
                await self.follow(self.revision)

    async def read(self) -> None:
        """Read the whole table."""
        image = await self.store.read_table(self.table)
        if isinstance(image, StoreFailure):
            await self.failed(image)
            return
        self.answered()
        self.take_image(image)

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
        if isinstance(changes, HistoryTrimmed):
            self.log.event("history_gone", table=self.table, after=revision)
            self.must_read = True
            return
        self.take_changes(changes)
        if changes.rows or changes.removed:
            await asyncio.sleep(COALESCE_SECONDS)

    def take_image(self, image: TableSnapshot) -> None:
        """Take in the whole table, read here or told by another proxy.

        Args:
          image: Its rows; ignored if something newer is known.
        """
        self.must_read = False
        if self.revision is not None and image.revision <= self.revision:
            return
        self.store_offset = image.store_seconds - self.loop.time()
        self.rows = {row.key: row for row in image.rows}
        self.revision = self.told_revision = image.revision
        self.on_image(image)
        if self.news is not None:
            self.news.image_known(self)

    def take_changes(self, changes: TableChanges) -> None:
        """Take in changes, read here or told by another proxy.

        Args:
          changes: All changes since a revision that is known here.
        """
        if self.revision is None or changes.revision <= self.revision:
            return
        self.revision = changes.revision
        if not changes.rows and not changes.removed:
            return
        after, self.told_revision = self.told_revision, changes.revision
        for key in changes.removed:
            self.rows.pop(key, None)
        self.rows.update((row.key, row) for row in changes.rows)
        self.on_changes(changes)
        if self.news is not None:
            self.news.changes_known(self, after, changes)

    def take_revision(self, revision: int) -> None:
        """Take in that nothing else has changed up to a revision.

        Args:
          revision: The store's version.
        """
        if self.revision is not None:
            self.revision = max(self.revision, revision)

    def image(self) -> TableSnapshot | None:
        """Return the table as it is known here; None before the first read."""
        if self.revision is None:
            return None
        return TableSnapshot(
            tuple(self.rows.values()), self.told_revision, self.store_seconds()
        )

    def store_seconds(self) -> float:
        """Return about what the store's steady clock shows."""
        return self.loop.time() + self.store_offset

    def answered(self) -> None:
        """Take in that the store is there."""
        self.contact.answered()
        self.failures = 0

    async def failed(self, failure: StoreFailure) -> None:
        """Wait before the next try."""
        self.contact.failed(f"{self.table}: {failure.detail}")
        pause = backoff_seconds(
            self.failures, self.rng, FIRST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS
        )
        self.failures += 1
        await asyncio.sleep(pause)
