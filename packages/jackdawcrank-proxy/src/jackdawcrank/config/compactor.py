"""Shortens the change log."""

import random
import uuid
from collections.abc import Callable

from jackdawcrank.config.snapshot import encode_snapshot
from jackdawcrank.store.change_codec import KEY_DIGITS, change_key
from jackdawcrank.store.client import StoreClient
from jackdawcrank.store.head import HEAD, Head, read_head
from jackdawcrank.store.outcome import (
    Committed,
    ObjectWritten,
    StoreUnavailable,
)
from jackdawcrank.store.transaction import (
    RowCheck,
    RowDelete,
    RowPut,
    Transaction,
)
from jackdawcrank.timer import Subscription, Timer
from jackdawcrank_policy.configuration import ConfigurationState

COMPACTION_INTERVAL_SECONDS = 60.0
JITTER_FRACTION = 0.9
COMPACTION_THRESHOLD_CHANGES = 2000
RETAINED_CHANGES = 1000
DELETES_PER_TRANSACTION = 200
SNAPSHOT_PREFIX = "snapshots/"


class ChangeLogCompactor:
    """Writes snapshots and deletes the changes that they cover.

    Every proxy runs one. The check of the head lets one of them win; the
    jitter makes it likely that the others find nothing left to do.

    Attributes:
      compaction_threshold: How many changes the log may hold before it is shortened.
      retained_changes: How many of the newest changes stay.
    """

    def __init__(
        self,
        store: StoreClient,
        state: ConfigurationState,
        timer: Timer,
        rng: random.Random | None = None,
        compaction_threshold: int = COMPACTION_THRESHOLD_CHANGES,
        retained_changes: int = RETAINED_CHANGES,
        on_compacted: Callable[[Head], None] = lambda head: None,
    ) -> None:
        """Make a collector; `start` begins its work.

        Args:
          store: The store.
          state: The configuration in force here.
          timer: Calls back.
          rng: The source of jitter.
          compaction_threshold: How many changes the log may hold.
          retained_changes: How many of the newest changes stay; no more than that.
          on_compacted: Called with the new head.
        """
        self.store = store
        self.state = state
        self.timer = timer
        self.rng = rng or random.Random()
        self.compaction_threshold = compaction_threshold
        self.retained_changes = min(retained_changes, compaction_threshold)
        self.on_compacted = on_compacted
        self.subscription: Subscription | None = None

    async def start(self) -> None:
        """Begin to look at regular intervals."""
        self.subscription = self.timer.subscribe(
            "collector",
            COMPACTION_INTERVAL_SECONDS,
            self.tick,
            JITTER_FRACTION,
            self.rng,
        )

    async def close(self) -> None:
        """Look no more."""
        if self.subscription is not None:
            self.subscription.close()

    async def tick(self, now: float) -> None:
        """Shorten the log if it is long; skip the read if it can't be."""
        if self.state.version >= self.compaction_threshold:
            await self.compact()

    async def compact(self) -> bool:
        """Shorten the log if it is long; return whether that was done."""
        head = await read_head(self.store)
        if isinstance(head, StoreUnavailable):
            return False
        if head.version - head.floor + 1 < self.compaction_threshold:
            return False
        snapshot = self.state.current
        if not head.floor <= snapshot.version <= head.version:
            return False
        name = f"{SNAPSHOT_PREFIX}{change_key(snapshot.version)}-{new_id()}"
        data = encode_snapshot(snapshot)
        written = await self.store.put_object(name, data, only_new=True)
        if not isinstance(written, ObjectWritten):
            return False
        truncated = await self.truncate_log(head, name, snapshot.version)
        if truncated:
            await self.delete_old_snapshots(head.snapshot, name)
        return truncated

    async def truncate_log(self, head: Head, name: str, covered: int) -> bool:
        """Point the head at a snapshot and delete covered changes.

        Args:
          head: The head as read before.
          name: The snapshot's name.
          covered: The version of the snapshot.
        """
        floor, target = head.floor, covered - self.retained_changes + 1
        truncated = False
        while floor < target:
            floor = min(target, floor + DELETES_PER_TRANSACTION)
            new_head = Head(head.version, name, floor, head.row_version)
            outcome = await self.store.transact(
                truncation_transaction(new_head, range(head.floor, floor))
            )
            if not isinstance(outcome, Committed):
                return truncated
            truncated = True
            row_version = outcome.versions[f"{HEAD}/{HEAD}"]
            head = Head(head.version, name, floor, row_version)
            self.on_compacted(head)
        return truncated

    async def delete_old_snapshots(
        self, previous: str | None, new: str
    ) -> None:
        """Delete the snapshots older than the last but one."""
        names = await self.store.list_objects(SNAPSHOT_PREFIX)
        if isinstance(names, StoreUnavailable) or previous is None:
            return
        for name in names:
            if snapshot_version(name) < snapshot_version(previous):
                await self.store.delete_object(name)


def truncation_transaction(head: Head, covered: range) -> Transaction:
    """Return the transaction that moves the floor.

    Args:
      head: The new head, with the row version that must still be there.
      covered: The versions of the changes to delete.
    """
    return Transaction(
        (RowCheck(HEAD, HEAD, head.row_version),),
        (RowPut(HEAD, HEAD, head.value()),),
        tuple(RowDelete("changes", change_key(v)) for v in covered),
    )


def snapshot_version(name: str) -> int:
    """Return the version that a snapshot's name states; 0 if none."""
    digits = name.removeprefix(SNAPSHOT_PREFIX)[:KEY_DIGITS]
    return int(digits) if digits.isdecimal() else 0


def new_id() -> str:
    """Return a short unique text."""
    return uuid.uuid4().hex[:8]
