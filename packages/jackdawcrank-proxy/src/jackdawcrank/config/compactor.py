"""Compaction of the change log."""

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

    Every proxy runs a compactor. A transaction commits only if the head is
    unchanged, so one of several concurrent compactions succeeds. Jitter makes
    it likely that the other proxies then find nothing left to do.

    Attributes:
      compaction_threshold: The number of changes in the log at which it is
        truncated.
      retained_changes: The number of newest changes to retain.
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
        """Initialize a compactor; `start` activates it.

        Args:
          store: The store.
          state: The configuration in force here.
          timer: The timer for the periodic check.
          rng: The random generator for the jitter.
          compaction_threshold: The number of changes in the log at which it is
            truncated.
          retained_changes: The number of newest changes to retain; limited to
            `compaction_threshold`.
          on_compacted: Called with the new head after each transaction.
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
        """Start checking the log at regular intervals."""
        self.subscription = self.timer.subscribe(
            "collector",
            COMPACTION_INTERVAL_SECONDS,
            self.tick,
            JITTER_FRACTION,
            self.rng,
        )

    async def close(self) -> None:
        """Stop checking the log."""
        if self.subscription is not None:
            self.subscription.close()

    async def tick(self, now: float) -> None:
        """Truncate the log if needed; skip the read of a log that is short."""
        if self.state.version >= self.compaction_threshold:
            await self.compact()

    async def compact(self) -> bool:
        """Truncate the log at the threshold; return whether that was done."""
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
        written = await self.store.put_object(name, data, create_only=True)
        if not isinstance(written, ObjectWritten):
            return False
        truncated = await self.truncate_log(head, name, snapshot.version)
        if truncated:
            await self.delete_old_snapshots(head.snapshot, name)
        return truncated

    async def truncate_log(self, head: Head, name: str, covered: int) -> bool:
        """Point the head at a snapshot and delete the changes that it covers.

        Args:
          head: The head that was read.
          name: The object name of the snapshot.
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
        """Delete all snapshots older than the previous one."""
        names = await self.store.list_objects(SNAPSHOT_PREFIX)
        if isinstance(names, StoreUnavailable) or previous is None:
            return
        for name in names:
            if snapshot_version(name) < snapshot_version(previous):
                await self.store.delete_object(name)


def truncation_transaction(head: Head, covered: range) -> Transaction:
    """Return the transaction that raises the floor and deletes changes.

    Args:
      head: The new head, with the row version expected in the store.
      covered: The versions of the changes to delete.
    """
    return Transaction(
        (RowCheck(HEAD, HEAD, head.row_version),),
        (RowPut(HEAD, HEAD, head.value()),),
        tuple(RowDelete("changes", change_key(v)) for v in covered),
    )


def snapshot_version(name: str) -> int:
    """Return the version in a snapshot's name, or 0 if there is none."""
    digits = name.removeprefix(SNAPSHOT_PREFIX)[:KEY_DIGITS]
    return int(digits) if digits.isdecimal() else 0


def new_id() -> str:
    """Return a short random id."""
    return uuid.uuid4().hex[:8]
