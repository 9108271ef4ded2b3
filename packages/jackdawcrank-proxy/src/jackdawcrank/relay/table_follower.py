"""Following of a table of the store, across outages."""

import asyncio
import contextlib
import math
import random
import typing
from collections.abc import Callable

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.store_health import StoreHealth
from jackdawcrank.seams.metadata_store import (
    HistoryTrimmed,
    MetadataStore,
    StoredRow,
    StoreFailure,
    TableChanges,
    TableSnapshot,
)
from jackdawcrank.tasks import cancel_and_wait
from jackdawcrank_policy.retry.backoff import backoff_seconds

# Share of a table's time limit (3 s or more) after which an answer of the store
# no longer proves that the table is current. The rest is for reading changes
# over a new connection.
TRUST_SHARE = 0.8
# Share of a table's time limit after which a wait for changes is renewed, so
# that other VMs hear of the new answer while they still trust the last one.
WAIT_SHARE = 0.7
# A recovered store must be noticed well within the time limit for applying a
# configuration (3 s).
MAX_BACKOFF_SECONDS = 0.5
INITIAL_BACKOFF_SECONDS = 0.1
# While the store is lost, the followers that do not probe it check this often
# whether it has been regained without their notice.
OUTAGE_POLL_SECONDS = 2.0
# A follower may fail alone, for example on a connection that was reset, so it
# calls the store again before it waits for the one that probes.
FAILURES_BEFORE_WAITING = 2
# Changes come in bursts when servers start or configurations follow each other;
# waiting lets one call fetch several. A tenth of the time limit for applying a
# configuration.
COALESCE_SECONDS = 0.3
# Interval at which an idle follower checks whether it must follow the store.
IDLE_POLL_SECONDS = 0.2


class TableObserver(typing.Protocol):
    """Observes the answers, images and changes of a follower."""

    def store_answered(self, follower: "TableFollower") -> None:
        """Handle an answer of the store, which proves the table current.

        Args:
          follower: The follower.
        """

    def image_applied(self, follower: "TableFollower") -> None:
        """Handle a new image of a table.

        Args:
          follower: Holds the table's rows.
        """

    def changes_applied(
        self, follower: "TableFollower", after: int, changes: TableChanges
    ) -> None:
        """Handle changes of a table.

        Args:
          follower: Holds the table's rows.
          after: The revision to which the changes apply.
          changes: The changes.
        """


class TableFollower:
    """Keeps a copy of a table up to date for as long as the proxy runs.

    It reads the table and waits for changes in the store, unless upstream VMs
    relay all changes.

    Attributes:
      table: The table's name.
      wait_seconds: The longest wait of one call for changes.
      trust_seconds: How long an answer of the store proves that no changes
        were missed. It must exceed `wait_seconds` by a round trip.
      discovery_seconds: How long after the start this process looks for
        upstream VMs before it follows the store.
      rows: The table's rows by key.
      epoch: The store's epoch to which the rows and revisions belong.
      revision: The store's revision up to which all changes are known; None
        before the first image.
      last_change_revision: The revision of the latest image or non-empty
        change.
      must_read: Whether the table must be read before it can be followed.
      store_offset: The store's clock minus the event loop's, in seconds.
      needed: Returns whether this process needs the table.
      has_upstreams: Returns whether enough upstream VMs relay all changes of
        a table.
      store_health: Records answers and failures of the store.
      observer: Receives each new image and change; may be None.
      on_applied: Called after each new image or change is applied.
      on_outdated_image: Called with an image that is not applied, since it is
        no newer than the known rows.
      row_after_restoration: Returns which row to keep, given the known one and
        the one in a store that was restored, each None if there is none.
      need_may_differ: Set when `needed` may return another value.
      failures: The number of failed calls in a row.
      probes_store: Whether this follower calls the store again and again while
        it is lost; the others of the process then wait.
      answered_at: When the store last answered, in seconds since boot; None
        before its first answer.
    """

    def __init__(
        self,
        store: MetadataStore,
        table: str,
        limit_seconds: float,
        discovery_seconds: float,
        on_image: Callable[[TableSnapshot], None],
        on_changes: Callable[[TableChanges], None],
        store_health: StoreHealth,
        log: DecisionLog,
        rng: random.Random,
        needed: Callable[[], bool],
    ) -> None:
        self.needed = needed
        self.store = store
        self.table = table
        self.set_limit(limit_seconds)
        self.discovery_seconds = discovery_seconds
        self.on_image = on_image
        self.on_changes = on_changes
        self.store_health = store_health
        self.log = log
        self.rng = rng
        self.has_upstreams: Callable[[str], bool] = lambda _table: False
        self.observer: TableObserver | None = None
        self.on_applied: Callable[[], None] = lambda: None
        self.need_may_differ = asyncio.Event()
        self.on_outdated_image: Callable[[TableSnapshot], None] = (
            lambda _image: None
        )
        self.row_after_restoration: Callable[
            [StoredRow | None, StoredRow | None], StoredRow | None
        ] = lambda _known, stored: stored
        self.rows: dict[str, StoredRow] = {}
        self.epoch = 0
        self.revision: int | None = None
        self.last_change_revision = 0
        self.must_read = True
        self.store_offset = 0.0
        self.discovery_ends_at = 0.0
        self.failures = 0
        self.probes_store = False
        self.answered_at: float | None = None
        self.loop = asyncio.get_running_loop()
        self.task: asyncio.Task[None] | None = None

    def set_limit(self, limit_seconds: float) -> None:
        """Set the time within which a change must be known.

        Args:
          limit_seconds: The time limit in seconds.
        """
        self.wait_seconds = limit_seconds * WAIT_SHARE
        self.trust_seconds = limit_seconds * TRUST_SHARE

    async def start(self) -> None:
        """Start to follow the table."""
        self.discovery_ends_at = self.loop.time() + self.discovery_seconds
        self.task = asyncio.create_task(self.run())

    async def close(self) -> None:
        """Stop following the table."""
        if self.task:
            await cancel_and_wait([self.task])

    def active(self) -> bool:
        """Return whether this process follows the table in the store."""
        return (
            self.revision is not None
            and not self.store_health.lost
            and not self.idle()
            and self.answer_age() <= self.trust_seconds
        )

    def answer_age(self) -> float:
        """Return the seconds since the store's last answer."""
        if self.answered_at is None:
            return math.inf
        return boot_seconds() - self.answered_at

    def idle(self) -> bool:
        """Return whether the store need not be followed."""
        if not self.needed():
            return True
        return not self.must_read and self.has_upstreams(self.table)

    async def run(self) -> None:
        """Follow the table until cancelled."""
        has_waited = False
        while True:
            if self.idle():
                has_waited = True
                if self.has_upstreams(self.table):
                    # Upstream VMs send heartbeats only while they reach the
                    # store.
                    self.store_health.record_success()
                await self.wait_while_idle()
            elif self.revision is None or self.must_read:
                await self.read()
            elif self.loop.time() < self.discovery_ends_at:
                # Upstream VMs that follow the store may still be found.
                has_waited = True
                await asyncio.sleep(IDLE_POLL_SECONDS)
            else:
                # Changes may have been missed and the connection may have died
                # since the last call; both must be noticed at once.
                await self.follow(
                    self.revision, 0.0 if has_waited else self.wait_seconds
                )
                has_waited = False

    async def wait_while_idle(self) -> None:
        """Wait for one polling interval, or until the need may differ."""
        self.need_may_differ.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_POLL_SECONDS):
                await self.need_may_differ.wait()

    async def read(self) -> None:
        """Read the whole table; wait if that fails."""
        image = await self.store.read_table(self.table)
        if isinstance(image, StoreFailure):
            await self.failed(image)
            return
        self.answered()
        self.apply_image(image)

    async def follow(self, revision: int, wait_seconds: float) -> None:
        """Wait for the next changes and apply them.

        Args:
          revision: The revision up to which changes are known.
          wait_seconds: The longest wait for a change.
        """
        changes = await self.store.follow(self.table, revision, wait_seconds)
        if isinstance(changes, StoreFailure):
            await self.failed(changes)
            return
        self.answered()
        if isinstance(changes, HistoryTrimmed):
            self.log.event("history_gone", table=self.table, after=revision)
            self.must_read = True
            return
        self.apply_changes(changes)
        if self.observer is not None:
            self.observer.store_answered(self)
        if (changes.rows or changes.removed) and not self.must_read:
            await asyncio.sleep(COALESCE_SECONDS)

    def apply_image(self, image: TableSnapshot) -> None:
        """Apply an image, read from the store or sent by an upstream VM.

        Args:
          image: The whole table; ignored unless newer than the known rows.
        """
        self.store_health.record_epoch(image.epoch)
        if image.epoch >= self.epoch:
            self.must_read = False
        if self.revision is not None and (image.epoch, image.revision) <= (
            self.epoch,
            self.revision,
        ):
            self.on_outdated_image(image)
            return
        self.store_offset = image.store_seconds - self.loop.time()
        restored = self.revision is not None and image.epoch > self.epoch
        rows = {row.key: row for row in image.rows}
        self.rows = self.merge_restored(rows) if restored else rows
        self.epoch = image.epoch
        self.revision = self.last_change_revision = image.revision
        self.on_image(image)
        if self.observer is not None:
            self.observer.image_applied(self)
        self.on_applied()

    def merge_restored(
        self, stored: dict[str, StoredRow]
    ) -> dict[str, StoredRow]:
        """Return the rows to keep after the store was restored.

        Args:
          stored: The rows of the restored store by key.
        """
        kept = {
            key: self.row_after_restoration(self.rows.get(key), stored.get(key))
            for key in self.rows.keys() | stored.keys()
        }
        return {key: row for key, row in kept.items() if row is not None}

    def apply_changes(self, changes: TableChanges) -> None:
        """Apply changes, read from the store or sent by an upstream VM.

        Args:
          changes: All changes since a revision that is known here; ignored
            unless newer than the known rows.
        """
        self.store_health.record_epoch(changes.epoch)
        if changes.epoch != self.epoch:
            # Revisions were given out again, so changes may be missing.
            self.must_read = self.must_read or changes.epoch > self.epoch
            return
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
        self.on_applied()

    def advance_revision(self, epoch: int, revision: int) -> bool:
        """Record that all changes up to a revision are known.

        Args:
          epoch: The store's epoch.
          revision: The store's revision.

        Returns:
          Whether the revision belongs to the epoch of the known rows.
        """
        if epoch != self.epoch:
            return False
        if self.revision is not None:
            self.revision = max(self.revision, revision)
        return True

    def image(self) -> TableSnapshot | None:
        """Return the known table; None before the first image."""
        if self.revision is None:
            return None
        return TableSnapshot(
            tuple(self.rows.values()),
            self.last_change_revision,
            self.store_seconds(),
            self.epoch,
        )

    def store_seconds(self) -> float:
        """Return the approximate time on the store's steady clock."""
        return self.loop.time() + self.store_offset

    def answered(self) -> None:
        """Record an answer of the store."""
        self.store_health.record_success()
        self.failures = 0
        self.answered_at = boot_seconds()

    async def failed(self, failure: StoreFailure) -> None:
        """Record a failure and wait before the next attempt."""
        self.store_health.record_failure(f"{self.table}: {failure.detail}")
        pause = backoff_seconds(
            self.failures,
            self.rng,
            INITIAL_BACKOFF_SECONDS,
            MAX_BACKOFF_SECONDS,
        )
        self.failures += 1
        await asyncio.sleep(pause)
        if not self.probes_store and self.failures > FAILURES_BEFORE_WAITING:
            await self.store_health.wait_regained(OUTAGE_POLL_SECONDS)
