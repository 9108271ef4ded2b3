"""Following of a table of the store, across outages."""

import asyncio
import collections
import contextlib
import math
import random
import typing
from collections.abc import Callable, Iterator, Mapping

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.await_event import await_event
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.store_health import StoreHealth
from jackdawcrank.relay.table_messages import MIN_PATCHED_BYTES
from jackdawcrank.seams.metadata_store import (
    HistoryTrimmed,
    MetadataStore,
    StoredRow,
    StoreFailure,
    TableChanges,
    TableSnapshot,
)
from jackdawcrank.tasks import cancel_and_wait
from jackdawcrank_policy.accounts import ProvenTime
from jackdawcrank_policy.retry.outage_pacing import probe_pause_seconds

# Share of a table's time limit (3 s or more) after which an answer of the store
# no longer proves that the table is current. The rest is for reading changes
# over a new connection.
TRUST_SHARE = 0.8
# Share of a table's time limit after which a wait for changes is renewed, so
# that other VMs hear of the new answer while they still trust the last one.
WAIT_SHARE = 0.7
# Share of a table's time limit after which a lost store is called again at the
# latest, so that its return is noticed well within the limit.
PROBE_SHARE = 0.25
# The same for a VM with streams to enough upstream VMs, which tell it at once
# that the store answers again.
CONNECTED_PROBE_SHARE = 0.5
# Such a VM begins with the pause after this many failures.
CONNECTED_FAILURES = 2
# While another follower probes the lost store, the others call it this often,
# since a store may be lost for single tables only. Half of the time within
# which a leaving server must be known (7 s or more).
OUTAGE_POLL_SECONDS = 3.5
# Pause after an unexpected error.
ERROR_PAUSE_SECONDS = 0.5
# Changes come in bursts when servers start or configurations follow each other;
# waiting lets one call fetch several. A tenth of the time limit for applying a
# configuration.
COALESCE_SECONDS = 0.3
# After the start, a VM relies on its first read of a table for this share of
# the table's time limit, while it finds VMs that relay the changes to it. It is
# below `TRUST_SHARE`.
SETTLE_SHARE = 0.75
# VMs that start together have found each other by then.
MAX_SETTLE_SECONDS = 4.0
# Upstream VMs that read a burst of changes at different moments send patches of
# different versions of a row.
MAX_BASES = 4
# Where the age of the rows must be proven, the store is called without a wait
# this often, since only a short call relates the clocks exactly. They drift by
# 0.1 s in this time.
CLOCK_CALL_SECONDS = 200.0
# Pause after such a call without an answer, while upstream VMs relay changes.
CLOCK_RETRY_SECONDS = 2.0
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
        self,
        follower: "TableFollower",
        after: int,
        changes: TableChanges,
        earlier: Mapping[str, StoredRow],
    ) -> None:
        """Handle changes of a table.

        Args:
          follower: Holds the table's rows.
          after: The revision to which the changes apply.
          changes: The changes.
          earlier: The changed rows as they were before, by key.
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
      probe_seconds: The longest pause between two calls of a lost store.
      connected_probe_seconds: The same while upstream VMs are connected.
      settle_seconds: How long after its first read this process looks for
        upstream VMs before it follows the store.
      first_read_delay_seconds: How long after the start the table is first
        read.
      rows: The table's rows by key.
      bases: Earlier versions of long rows by key, to which patches may refer.
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
      expects_upstreams: Returns whether enough upstream VMs may be found.
      upstreams_connected: Returns whether enough upstream VMs would tell that
        the store answers again.
      store_health: Records answers and failures of the store.
      observer: Receives each new image and change; may be None.
      longest_wait_seconds: A limit of `wait_seconds` that keeps the proven age
        of the rows low; infinite if no age must be proven.
      proven: The store time up to which all changes are known.
      on_proof_changed: Called after each change of `proven`.
      clock_call_at: When the store is to be called next to relate the clocks,
        in seconds since boot.
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
      has_followed: Whether this process has waited for changes in the store.
      has_waited: Whether this process has waited for anything but the store
        since its last call.
    """

    def __init__(
        self,
        store: MetadataStore,
        table: str,
        limit_seconds: float,
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
        self.longest_wait_seconds = math.inf
        self.proven = ProvenTime()
        self.on_proof_changed: Callable[[], None] = lambda: None
        self.clock_call_at = 0.0
        self.set_limit(limit_seconds)
        self.first_read_delay_seconds = 0.0
        self.on_image = on_image
        self.on_changes = on_changes
        self.store_health = store_health
        self.log = log
        self.rng = rng
        self.has_upstreams: Callable[[str], bool] = lambda _table: False
        self.expects_upstreams: Callable[[], bool] = lambda: False
        self.upstreams_connected: Callable[[], bool] = lambda: False
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
        self.bases: dict[str, collections.deque[StoredRow]] = (
            collections.defaultdict(lambda: collections.deque(maxlen=MAX_BASES))
        )
        self.epoch = 0
        self.revision: int | None = None
        self.last_change_revision = 0
        self.must_read = True
        self.store_offset = 0.0
        self.has_followed = False
        self.failures = 0
        self.probes_store = False
        self.answered_at: float | None = None
        self.has_waited = False
        self.loop = asyncio.get_running_loop()
        self.task: asyncio.Task[None] | None = None

    def set_limit(
        self, limit_seconds: float, longest_wait_seconds: float = math.inf
    ) -> None:
        """Set the time within which a change must be known.

        Args:
          limit_seconds: The time limit in seconds.
          longest_wait_seconds: The longest wait of one call for changes, if the
            age of the rows must be proven.
        """
        self.longest_wait_seconds = longest_wait_seconds
        self.wait_seconds = min(
            limit_seconds * WAIT_SHARE, longest_wait_seconds
        )
        self.trust_seconds = limit_seconds * TRUST_SHARE
        self.probe_seconds = limit_seconds * PROBE_SHARE
        self.connected_probe_seconds = limit_seconds * CONNECTED_PROBE_SHARE
        self.settle_seconds = min(
            limit_seconds * SETTLE_SHARE, MAX_SETTLE_SECONDS
        )

    async def start(self) -> None:
        """Start to follow the table."""
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
        await asyncio.sleep(self.first_read_delay_seconds)
        while True:
            try:
                await self.step()
            except Exception as error:
                # Following must go on, or this process would serve outdated
                # declarations for as long as it runs.
                self.log.event(
                    "follower_failed", table=self.table, detail=repr(error)
                )
                # Rows may have been applied in part, so the next image counts
                # whatever its revision.
                self.revision = None
                await asyncio.sleep(ERROR_PAUSE_SECONDS)

    async def step(self) -> None:
        """Read the table, wait for changes, or wait until that is needed."""
        if self.idle():
            self.has_waited = True
            if self.has_upstreams(self.table):
                # Upstream VMs send heartbeats only while they reach the
                # store.
                self.store_health.record_success()
            if self.needed() and self.clock_call_due():
                await self.relate_clocks()
            await self.wait_while_idle()
        elif self.revision is None or self.must_read:
            await self.read()
        elif self.is_settling():
            # Upstream VMs that follow the store may still be found.
            self.has_waited = True
            await asyncio.sleep(IDLE_POLL_SECONDS)
        else:
            # Changes may have been missed and the connection may have died
            # since the last call; both must be noticed at once.
            short = self.has_waited or self.clock_call_due()
            wait_seconds = 0.0 if short else self.wait_seconds
            self.has_waited = False
            self.has_followed = True
            await self.follow(self.revision, wait_seconds)

    def clock_call_due(self) -> bool:
        """Return whether a short call must relate the clocks again."""
        return (
            math.isfinite(self.longest_wait_seconds)
            and boot_seconds() >= self.clock_call_at
        )

    async def relate_clocks(self) -> None:
        """Call the store although upstream VMs relay the changes.

        A failure says nothing about the changes, so it is not recorded.
        """
        if self.revision is None:
            return
        sent_at = self.begin_call(0.0)
        changes = await self.store.follow(self.table, self.revision, 0.0)
        if not isinstance(changes, TableChanges):
            self.clock_call_at = boot_seconds() + CLOCK_RETRY_SECONDS
            return
        self.record_exchange(sent_at, changes.store_seconds, changes.epoch)
        self.apply_changes(changes)
        self.prove(changes.store_seconds, changes.epoch)

    def record_exchange(
        self, sent_at: float, store_seconds: float | None, epoch: int
    ) -> None:
        """Record a call that the store answered with its clock.

        Args:
          sent_at: When the call was sent, in seconds since boot.
          store_seconds: The store's clock; None if the store does not tell it.
          epoch: The store's epoch.
        """
        if store_seconds is None or not math.isfinite(store_seconds):
            return
        self.proven.exchanged(sent_at, store_seconds, epoch)

    def prove(self, store_seconds: float | None, epoch: int) -> None:
        """Record that all changes up to a store time were applied.

        Args:
          store_seconds: The time on the store's clock; None if it is unknown.
          epoch: The store's epoch.
        """
        if store_seconds is None or epoch != self.epoch:
            return
        if self.revision is None or self.must_read:
            # Changes may be missing.
            return
        if self.proven.prove(store_seconds, epoch, boot_seconds()):
            self.on_proof_changed()

    @property
    def proven_store_seconds(self) -> float | None:
        """The store time up to which all changes are known, or None."""
        if self.proven.clock.epoch != self.epoch:
            return None
        return self.proven.store_seconds

    def is_settling(self) -> bool:
        """Return whether the first read suffices until others relay changes.

        An image from another VM does not, since that VM may be cut off.
        """
        return (
            not self.has_followed
            and self.answer_age() < self.settle_seconds
            and self.expects_upstreams()
        )

    async def wait_while_idle(self) -> None:
        """Wait for one polling interval, or until the need may differ."""
        self.need_may_differ.clear()
        await await_event(self.need_may_differ, IDLE_POLL_SECONDS)

    async def read(self) -> None:
        """Read the whole table; wait if that fails."""
        sent_at = self.begin_call(0.0)
        image = await self.store.read_table(self.table)
        if isinstance(image, StoreFailure):
            await self.failed(image)
            return
        self.answered()
        self.record_exchange(sent_at, image.store_seconds, image.epoch)
        self.apply_image(image)
        self.prove(image.store_seconds, image.epoch)

    async def refresh(self) -> bool:
        """Read the table now, beside the calls that follow it.

        Returns:
          Whether the store answered.
        """
        image = await self.store.read_table(self.table)
        if isinstance(image, StoreFailure):
            return False
        self.apply_image(image)
        return True

    def begin_call(self, wait_seconds: float) -> float:
        """Return the time at which a call of the store is sent.

        Args:
          wait_seconds: The longest wait of the call.
        """
        now = boot_seconds()
        if wait_seconds == 0.0:
            self.clock_call_at = now + CLOCK_CALL_SECONDS
        return now

    async def follow(self, revision: int, wait_seconds: float) -> None:
        """Wait for the next changes and apply them.

        Args:
          revision: The revision up to which changes are known.
          wait_seconds: The longest wait for a change.
        """
        sent_at = self.begin_call(wait_seconds)
        changes = await self.store.follow(self.table, revision, wait_seconds)
        if isinstance(changes, StoreFailure):
            await self.failed(changes)
            return
        self.answered()
        if isinstance(changes, HistoryTrimmed):
            self.log.event("history_gone", table=self.table, after=revision)
            self.must_read = True
            return
        self.record_exchange(sent_at, changes.store_seconds, changes.epoch)
        self.apply_changes(changes)
        self.prove(changes.store_seconds, changes.epoch)
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
        self.bases.clear()
        self.epoch = image.epoch
        if self.proven.clock.epoch != image.epoch:
            # A proof needs an own call in the new epoch.
            self.clock_call_at = 0.0
        self.revision = self.last_change_revision = image.revision
        with self.reread_after_error():
            self.on_image(image)
        if self.observer is not None:
            self.observer.image_applied(self)
        self.on_applied()

    @contextlib.contextmanager
    def reread_after_error(self) -> Iterator[None]:
        """Read the table again if rows were applied in part only.

        Otherwise the next heartbeat would prove rows that are not in force.
        """
        try:
            yield
        except Exception:
            self.revision = None
            self.must_read = True
            raise

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
        earlier = {
            row.key: self.rows[row.key]
            for row in changes.rows
            if row.key in self.rows
        }
        for row in earlier.values():
            self.keep_base(row)
        for key in changes.removed:
            self.rows.pop(key, None)
        self.rows.update((row.key, row) for row in changes.rows)
        with self.reread_after_error():
            self.on_changes(changes)
        if self.observer is not None:
            self.observer.changes_applied(self, after, changes, earlier)
        self.on_applied()

    def keep_base(self, row: StoredRow) -> None:
        """Keep an earlier version of a row that others may send a patch of."""
        if len(row.value) >= MIN_PATCHED_BYTES:
            self.bases[row.key].append(row)

    def base_row(self, key: str, revision: int) -> StoredRow | None:
        """Return a version of a row, if it is known.

        Args:
          key: The row's key.
          revision: The revision of the version.
        """
        versions = list(self.bases.get(key, ()))
        if key in self.rows:
            versions.append(self.rows[key])
        return next((r for r in versions if r.revision == revision), None)

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
        health = self.store_health
        health.record_failure(f"{self.table}: {failure.detail}")
        self.failures += 1
        if math.isfinite(self.longest_wait_seconds):
            # The first answer after an outage proves the age at once.
            self.has_waited = True
        pause = self.probe_pause()
        if self.probes_store:
            health.probed = True
            await health.wait_hinted(pause)
            return
        await asyncio.sleep(pause)
        if health.probed:
            await health.wait_regained(OUTAGE_POLL_SECONDS)

    def probe_pause(self) -> float:
        """Return how long to wait before the store is called again."""
        if self.upstreams_connected():
            return probe_pause_seconds(
                self.failures + CONNECTED_FAILURES,
                self.connected_probe_seconds,
                self.rng,
            )
        return probe_pause_seconds(self.failures, self.probe_seconds, self.rng)
