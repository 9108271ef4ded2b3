"""Replicates the configuration from the store to a proxy."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable

from absl import logging

from jackdawcrank.config.peer_records import PeerUpdate, decode_peer_record
from jackdawcrank.config.snapshot import decode_snapshot
from jackdawcrank.store.change_reader import read_changes
from jackdawcrank.store.client import StoreClient
from jackdawcrank.store.head import Head, read_head
from jackdawcrank.store.outcome import StoredObject, StoreUnavailable
from jackdawcrank.timer import Subscription, Timer
from jackdawcrank_policy.configuration import (
    Applied,
    Change,
    Configuration,
    ConfigurationState,
    MissingChanges,
)

HEAD_READ_SECONDS = 0.8
JITTER_FRACTION = 0.2
MIN_READ_DELAY_SECONDS = 0.1
SLOW_READ_SECONDS = 0.4
PEER_READ_INTERVAL_SECONDS = 1.0

OnChange = Callable[[Configuration, tuple[Change, ...]], None]
OnStoreAvailability = Callable[[bool], None]
OnHeadRead = Callable[[float, int], None]
ReadFromPeers = Callable[[int], Awaitable[Iterable[PeerUpdate]]]


class ConfigurationFollower:
    """Polls the head of the change log and applies new changes.

    Attributes:
      state: The configuration in force.
      store_available: Whether the last read of the head succeeded.
      head_version: The highest version seen in the head.
      peer_version: The highest version that a peer has announced.
      floor: The version of the oldest change in the log, as of that read.
      changed: Set, then replaced, whenever a newer version is in force.
      head_read_slow: Whether the last read of the head took longer than
        `SLOW_READ_SECONDS`.
    """

    def __init__(
        self,
        store: StoreClient,
        timer: Timer,
        on_change: OnChange = lambda configuration, changes: None,
        on_head_read: OnHeadRead = lambda sent_at, version: None,
        read_from_peers: ReadFromPeers | None = None,
        on_store_availability: OnStoreAvailability = lambda available: None,
        interval_seconds: float = HEAD_READ_SECONDS,
        rng: random.Random | None = None,
    ) -> None:
        """Initialize a follower; `start` activates it.

        Args:
          store: The store.
          timer: The timer and source of the monotonic time.
          on_change: Called once changes are in force, with the changes; none
            are passed if a snapshot replaced the whole configuration.
          on_head_read: Called with the time just before the read was sent and
            the version that it returned, once every change up to that version
            is in force.
          read_from_peers: Requests newer changes from peers, given a version;
            used while the store does not answer.
          on_store_availability: Called when the store becomes available
            or unavailable.
          interval_seconds: The time between two reads.
          rng: The random generator for the jitter.
        """
        self.store = store
        self.timer = timer
        self.on_change = on_change
        self.on_head_read = on_head_read
        self.read_from_peers = read_from_peers
        self.on_store_availability = on_store_availability
        self.interval_seconds = interval_seconds
        self.rng = rng or random.Random()
        self.state = ConfigurationState()
        self.store_available = False
        self.head_version = 0
        self.floor = 1
        self.changed = asyncio.Event()
        self.subscription: Subscription | None = None
        self.reading = asyncio.Lock()
        self.peers_queried_at = float("-inf")
        self.read_at = float("-inf")
        self.peer_version = 0
        self.head_read_slow = False
        self.closed = False

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.state.current

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.state.version

    async def start(self) -> None:
        """Read once, then at regular intervals."""
        await self.tick(self.timer.now())

    async def close(self) -> None:
        """Stop reading; waiters are not notified of newer versions."""
        self.closed = True
        if self.subscription is not None:
            self.subscription.close()

    async def tick(self, now: float) -> None:
        """Read the head and schedule the next read one interval later.

        The interval counts from the start of this read.
        """
        started_at = self.timer.now()
        try:
            await self.read()
        finally:
            elapsed = self.timer.now() - started_at
            jitter = self.rng.uniform(-JITTER_FRACTION, JITTER_FRACTION)
            delay = self.interval_seconds * (1 + jitter) - elapsed
            if not self.closed:
                delay = max(MIN_READ_DELAY_SECONDS, delay)
                self.subscription = self.timer.call_later(delay, self.tick)

    async def handle_peer_version(self, version: int) -> None:
        """Record a peer's version; read the head at once if it is newer."""
        if version <= self.version:
            return
        recently_read = self.timer.now() - self.read_at < MIN_READ_DELAY_SECONDS
        if recently_read and version <= self.peer_version:
            return
        self.peer_version = max(self.peer_version, version)
        await self.read()

    async def read(self) -> None:
        """Read the head and apply changes, or read from peers if that fails."""
        async with self.reading:
            sent_at = self.read_at = self.timer.now()
            head = await self.read_head()
            self.set_store_available(isinstance(head, Head))
            self.head_read_slow = self.timer.now() - sent_at > SLOW_READ_SECONDS
            if isinstance(head, StoreUnavailable):
                await self.update_from_peers()
            elif await self.catch_up(head):
                self.head_version = max(self.head_version, head.version)
                self.floor = max(self.floor, head.floor)
                self.on_head_read(sent_at, head.version)

    async def read_head(self) -> Head | StoreUnavailable:
        """Read the head; if the store is slow, read changes concurrently."""
        reading = asyncio.create_task(read_head(self.store))
        try:
            if not self.head_read_slow:
                await asyncio.wait([reading], timeout=SLOW_READ_SECONDS)
            if not reading.done():
                changes = await read_changes(self.store, self.version)
                if not isinstance(changes, StoreUnavailable):
                    self.apply(changes)
            return await reading
        finally:
            reading.cancel()

    def set_store_available(self, available: bool) -> None:
        """Record whether the store is available."""
        if available != self.store_available:
            self.store_available = available
            self.on_store_availability(available)

    async def catch_up(self, head: Head) -> bool:
        """Apply every change up to a head; return whether that succeeded."""
        below_floor = head.floor > self.version + 1
        initial = self.version == 0 and head.snapshot is not None
        if (below_floor or initial) and not await self.load_snapshot(head):
            return False
        while self.version < head.version:
            changes = await read_changes(self.store, self.version)
            if isinstance(changes, StoreUnavailable) or not changes:
                return False
            if not self.apply(changes):
                return False
        return True

    async def load_snapshot(self, head: Head) -> bool:
        """Adopt the newest snapshot; return whether that succeeded."""
        if head.snapshot is None:
            logging.error(
                "change log starts at version %d but has no snapshot",
                head.floor,
            )
            return False
        answer = await self.store.get_object(head.snapshot)
        if not isinstance(answer, StoredObject):
            return False
        snapshot = decode_snapshot(answer.data)
        if snapshot is None:
            logging.error("snapshot %s is malformed", head.snapshot)
            return False
        self.adopt(snapshot)
        return True

    async def update_from_peers(self) -> None:
        """Read changes from peers while the store is unavailable."""
        now = self.timer.now()
        if self.read_from_peers is None:
            return
        if now - self.peers_queried_at < PEER_READ_INTERVAL_SECONDS:
            return
        self.peers_queried_at = now
        self.apply_peer_updates(await self.read_from_peers(self.version))

    def apply_peer_updates(self, updates: Iterable[PeerUpdate]) -> None:
        """Apply updates from peers that are newer."""
        items = list(updates)
        snapshots = [i for i in items if isinstance(i, Configuration)]
        for snapshot in snapshots:
            self.adopt(snapshot)
        changes = [item for item in items if isinstance(item, Change)]
        self.apply(sorted(changes, key=lambda change: change.version))

    def apply_peer_records(self, records: Iterable[bytes]) -> None:
        """Apply records from a peer that are newer."""
        updates = (decode_peer_record(record) for record in records)
        self.apply_peer_updates(item for item in updates if item is not None)

    def adopt(self, snapshot: Configuration) -> None:
        """Put a snapshot in force if it is newer."""
        if isinstance(self.state.install_snapshot(snapshot), Applied):
            self.notify_change(())

    def apply(self, changes: Iterable[Change]) -> bool:
        """Apply changes in order; return whether there was no gap."""
        applied: list[Change] = []
        complete = True
        for change in changes:
            outcome = self.state.apply(change)
            if isinstance(outcome, MissingChanges):
                complete = False
                break
            if isinstance(outcome, Applied):
                applied.append(change)
        if applied:
            self.notify_change(tuple(applied))
        return complete

    def notify_change(self, changes: tuple[Change, ...]) -> None:
        """Notify the callback and all waiters of a new version."""
        self.on_change(self.configuration, changes)
        self.changed.set()
        self.changed = asyncio.Event()

    async def read_up_to(self, version: int) -> None:
        """Wait until a version is in force; read at once if it is not."""
        if self.version < version:
            await self.read()
        await self.wait_above(version - 1)

    async def wait_above(self, version: int) -> None:
        """Wait until a version above the given one is in force."""
        while self.version <= version:
            await self.changed.wait()
