"""Following a table of the store through its troubles."""

import asyncio
import random
from collections.abc import Callable

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.store_contact import StoreContact
from jackdawcrank.seams.metadata_store import (
    HistoryGone,
    MetadataStore,
    StoredRow,
    StoreFailure,
    TableChanges,
)
from jackdawcrank_policy.retry.backoff import backoff_seconds

# A store that is back must be noticed well within the bound of a
# configuration (3 s).
LONGEST_PAUSE_SECONDS = 0.5
FIRST_PAUSE_SECONDS = 0.1
# Changes come in groups, as servers start or configurations follow each other;
# one call then fetches several. A tenth of the bound of a configuration.
COALESCE_SECONDS = 0.3
# How soon a table that nobody else vouches for any more is read here.
UNWANTED_PAUSE_SECONDS = 0.2


class TableFollower:
    """Reads a table and then its changes, for as long as the proxy runs.

    Attributes:
      table: The table.
      revision: The store's version up to which changes are known.
      wanted: Tells whether this process must follow the table itself.
      contact: Told of every answer and failure.
      failures: Failures in a row.
    """

    def __init__(
        self,
        store: MetadataStore,
        table: str,
        wait_seconds: float,
        on_image: Callable[[tuple[StoredRow, ...]], None],
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
        self.on_image = on_image
        self.on_changes = on_changes
        self.contact = contact
        self.log = log
        self.rng = rng
        self.revision: int | None = None
        self.failures = 0
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to follow."""
        self.task = asyncio.create_task(self.run())

    async def close(self) -> None:
        """Stop following."""
        if self.task:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def run(self) -> None:
        """Follow until closed."""
        while True:
            if not self.wanted():
                await asyncio.sleep(UNWANTED_PAUSE_SECONDS)
            elif self.revision is None:
                await self.read()
            else:
                await self.follow(self.revision)

    async def read(self) -> None:
        """Read the whole table."""
        image = await self.store.read_table(self.table)
        if isinstance(image, StoreFailure):
            await self.failed(image)
            return
        self.answered()
        self.on_image(image.rows)
        self.revision = image.revision

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
            self.revision = None
            return
        if changes.rows or changes.removed:
            self.on_changes(changes)
        self.revision = max(revision, changes.revision)
        if changes.rows or changes.removed:
            await asyncio.sleep(COALESCE_SECONDS)

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
