"""Keeps a proxy's configuration at the newest version."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable

from absl import logging

from jackdawcrank.config.peer_records import Learned, learned_from
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
MIN_PAUSE_SECONDS = 0.1
SLOW_SECONDS = 0.4
PEER_PAUSE_SECONDS = 1.0

OnChange = Callable[[Configuration, tuple[Change, ...]], None]
OnStore = Callable[[bool], None]
OnHeadRead = Callable[[float, int], None]
LearnFromPeers = Callable[[int], Awaitable[Iterable[Learned]]]


class ConfigurationFollower:
    """Reads the head of the change log and applies what changed.

    Attributes:
      state: The configuration in force.
      store_answers: Whether the last read of the head succeeded.
      head_version: The newest version that a read of the head showed.
      heard_version: The newest version that a peer has told of.
      floor: The oldest change in the log, as of that read.
      changed: Wakes those who wait for a newer version.
      slow: Whether the last read of the head took long.
    """

    def __init__(
        self,
        store: StoreClient,
        timer: Timer,
        on_change: OnChange = lambda configuration, changes: None,
        on_head_read: OnHeadRead = lambda sent_at, version: None,
        learn_from_peers: LearnFromPeers | None = None,
        on_store: OnStore = lambda answers: None,
        interval_seconds: float = HEAD_READ_SECONDS,
        rng: random.Random | None = None,
    ) -> None:
        """Make a follower; `start` begins to read.

        Args:
          store: The store.
          timer: Calls back, and tells the monotonic time.
          on_change: Called once changes are in force, with the changes; none
            are passed if a snapshot replaced the whole configuration.
          on_head_read: Called with the instant before the read was sent and
            the version that it showed, once every change up to that version
            is in force.
          learn_from_peers: Asks peers for what is above a version; used
            while the store does not answer.
          on_store: Called when the store begins or ceases to answer.
          interval_seconds: The time between two reads.
          rng: The source of jitter.
        """
        self.store = store
        self.timer = timer
        self.on_change = on_change
        self.on_head_read = on_head_read
        self.learn_from_peers = learn_from_peers
        self.on_store = on_store
        self.interval_seconds = interval_seconds
        self.rng = rng or random.Random()
        self.state = ConfigurationState()
        self.store_answers = False
        self.head_version = 0
        self.floor = 1
        self.changed = asyncio.Event()
        self.subscription: Subscription | None = None
        self.reading = asyncio.Lock()
        self.peers_asked_at = float("-inf")
        self.read_at = float("-inf")
        self.heard_version = 0
        self.slow = False
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
        """Read no more; nobody who waits is woken by a newer version."""
        self.closed = True
        if self.subscription is not None:
            self.subscription.close()

    async def tick(self, now: float) -> None:
        """Read the head, and again an interval after this read began."""
        began_at = self.timer.now()
        try:
            await self.read()
        finally:
            took = self.timer.now() - began_at
            jitter = self.rng.uniform(-JITTER_FRACTION, JITTER_FRACTION)
            pause = self.interval_seconds * (1 + jitter) - took
            if not self.closed:
                pause = max(MIN_PAUSE_SECONDS, pause)
                self.subscription = self.timer.call_later(pause, self.tick)

    async def peer_is_at(self, version: int) -> None:
        """Take in that a peer has a version; read at once if it is newer."""
        if version <= self.version:
            return
        lately = self.timer.now() - self.read_at < MIN_PAUSE_SECONDS
        if lately and version <= self.heard_version:
            return
        self.heard_version = max(self.heard_version, version)
        await self.read()

    async def read(self) -> None:
        """Read the head and apply what changed, or else ask peers."""
        async with self.reading:
            sent_at = self.read_at = self.timer.now()
            head = await self.read_head()
            self.note_store(isinstance(head, Head))
            self.slow = self.timer.now() - sent_at > SLOW_SECONDS
            if isinstance(head, StoreUnavailable):
                await self.ask_peers()
            elif await self.catch_up(head):
                self.head_version = max(self.head_version, head.version)
                self.floor = max(self.floor, head.floor)
                self.on_head_read(sent_at, head.version)

    async def read_head(self) -> Head | StoreUnavailable:
        """Read the head; from a slow store the changes at the same time."""
        reading = asyncio.create_task(read_head(self.store))
        try:
            if not self.slow:
                await asyncio.wait([reading], timeout=SLOW_SECONDS)
            if not reading.done():
                changes = await read_changes(self.store, self.version)
                if not isinstance(changes, StoreUnavailable):
                    self.apply(changes)
            return await reading
        finally:
            reading.cancel()

    def note_store(self, answers: bool) -> None:
        """Record whether the store answers."""
        if answers != self.store_answers:
            self.store_answers = answers
            self.on_store(answers)

    async def catch_up(self, head: Head) -> bool:
        """Apply every change up to a head; return whether that worked."""
        behind = head.floor > self.version + 1
        new = self.version == 0 and head.snapshot is not None
        if (behind or new) and not await self.load_snapshot(head):
            return False
        while self.version < head.version:
            changes = await read_changes(self.store, self.version)
            if isinstance(changes, StoreUnavailable) or not changes:
                return False
            if not self.apply(changes):
                return False
        return True

    async def load_snapshot(self, head: Head) -> bool:
        """Adopt the newest snapshot; return whether that worked."""
        if head.snapshot is None:
            logging.error("change log starts at %d, no snapshot", head.floor)
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

    async def ask_peers(self) -> None:
        """Learn from peers what the store can't tell."""
        now = self.timer.now()
        if self.learn_from_peers is None:
            return
        if now - self.peers_asked_at < PEER_PAUSE_SECONDS:
            return
        self.peers_asked_at = now
        self.learn(await self.learn_from_peers(self.version))

    def learn(self, learned: Iterable[Learned]) -> None:
        """Apply what peers told, as far as it is newer."""
        items = list(learned)
        snapshots = [i for i in items if isinstance(i, Configuration)]
        for snapshot in snapshots:
            self.adopt(snapshot)
        changes = [item for item in items if isinstance(item, Change)]
        self.apply(sorted(changes, key=lambda change: change.version))

    def learn_records(self, records: Iterable[bytes]) -> None:
        """Apply a peer's records, as far as they are newer."""
        learned = (learned_from(record) for record in records)
        self.learn(item for item in learned if item is not None)

    def adopt(self, snapshot: Configuration) -> None:
        """Put a snapshot in force if it is newer."""
        if isinstance(self.state.install_snapshot(snapshot), Applied):
            self.announce(())

    def apply(self, changes: Iterable[Change]) -> bool:
        """Put changes in force; return whether none was missing."""
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
            self.announce(tuple(applied))
        return complete

    def announce(self, changes: tuple[Change, ...]) -> None:
        """Tell everybody who waits that the configuration moved on."""
        self.on_change(self.configuration, changes)
        self.changed.set()
        self.changed = asyncio.Event()

    async def read_up_to(self, version: int) -> None:
        """Return once a version is in force; read at once if it is not."""
        if self.version < version:
            await self.read()
        await self.wait_above(version - 1)

    async def wait_above(self, version: int) -> None:
        """Return once a version above the given one is in force."""
        while self.version <= version:
            await self.changed.wait()
