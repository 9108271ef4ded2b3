"""Writes to the change log, the single order of all changes."""

import asyncio
import random
import time
import uuid
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from jackdawcrank.store.append_outcome import (
    Appended,
    AppendOutcome,
    ChangeConflict,
    Unchanged,
)
from jackdawcrank.store.change_reader import read_change
from jackdawcrank.store.client import StoreClient
from jackdawcrank.store.head import Head, read_head
from jackdawcrank.store.outcome import (
    Absent,
    Committed,
    Conflict,
    Row,
    StoreUnavailable,
)
from jackdawcrank.store.transaction import (
    Transaction,
)
from jackdawcrank.store.write import (
    RowPrecondition,
    Write,
    already_applied,
    resource_version,
    transaction_for,
    version_precondition,
)
from jackdawcrank_policy.configuration import Change, Kind

APPEND_SECONDS = 8.0
RETRY_PAUSE_SECONDS = 0.05
MAX_RETRY_PAUSE_SECONDS = 1.0


@attrs.define
class ChangeLog:
    """Appends changes, each at most once.

    A lost answer is settled by sending the very same transaction again,
    which its check of the head lets through once at most, and by looking
    for the write's own token in the change log.

    Attributes:
      store: The store.
      clock: Monotonic seconds.
      wall_clock: Seconds since the epoch.
      rng: The source of jitter.
      append_seconds: How long one append may take.
      new_token: Makes the token of a write.
    """

    store: StoreClient
    clock: Callable[[], float] = time.monotonic
    wall_clock: Callable[[], float] = time.time
    rng: random.Random = attrs.field(factory=random.Random)
    append_seconds: float = APPEND_SECONDS
    new_token: Callable[[], str] = lambda: uuid.uuid4().hex

    async def append(
        self,
        kind: str,
        name: str,
        body: Mapping[str, Any] | None,
        expected: int | None,
        actor: str,
    ) -> AppendOutcome:
        """Change a resource.

        Args:
          kind: The resource's kind.
          name: Its name.
          body: The new row without its version; None deletes it.
          expected: The resource version that it must have; 0 if it must not
            exist, None for any.
          actor: Who makes the change.
        """
        write = Write(kind, name, body, actor, self.new_token())
        return await self.run(write, version_precondition(expected))

    async def append_group_row(
        self,
        name: str,
        body: Mapping[str, Any],
        expected: RowPrecondition,
        actor: str,
    ) -> AppendOutcome:
        """Change a group's row if it is as expected."""
        token = self.new_token()
        body = {**body, "token": token}
        write = Write(Kind.GROUP_ROW, name, body, actor, token)
        return await self.run(write, expected)

    async def run(
        self, write: Write, expected: RowPrecondition
    ) -> AppendOutcome:
        """Append a write, trying again until its time has run out."""
        deadline = self.clock() + self.append_seconds
        outcome: AppendOutcome | None = None
        attempt = 0
        while outcome is None:
            outcome = await self.attempt(write, expected, deadline)
            if outcome is None and not await self.back_off(attempt, deadline):
                detail = "other changes kept coming first"
                outcome = StoreUnavailable(False, detail)
            attempt += 1
        return outcome

    async def attempt(
        self, write: Write, expected: RowPrecondition, deadline: float
    ) -> AppendOutcome | None:
        """Append a write at the present head; None if the head moved on."""
        head, row = await asyncio.gather(
            read_head(self.store), self.store.get(write.table, write.key)
        )
        if isinstance(head, StoreUnavailable):
            return head
        if isinstance(row, StoreUnavailable):
            return row
        current_row = row if isinstance(row, Row) else None
        if already_applied(write, current_row):
            return await self.unchanged_outcome(current_row)
        if not expected(current_row):
            return await self.conflict_outcome(current_row)
        change = self.change(write, head.version + 1)
        transaction = transaction_for(write, change, head, current_row)
        return await self.submit(transaction, change, deadline)

    def change(self, write: Write, version: int) -> Change:
        """Return the change that a write makes at a version."""
        body = write.body
        if body is not None:
            body = {**body, "resource_version": version}
        return Change(
            version=version,
            kind=write.kind,
            name=write.name,
            deleted=body is None,
            document=body or {},
            token=write.token,
            actor=write.actor,
            at=self.wall_clock(),
        )

    async def submit(
        self, transaction: Transaction, change: Change, deadline: float
    ) -> AppendOutcome | None:
        """Send a transaction until its fate is known.

        Returns:
          None if another change came first.
        """
        attempt = 0
        while True:
            outcome = await self.store.transact(transaction)
            if isinstance(outcome, Committed):
                return Appended(change.version, change)
            if isinstance(outcome, Conflict):
                return await self.resolve_conflict(change, deadline)
            unsent = attempt == 0 and not outcome.maybe_applied
            if unsent or not await self.back_off(attempt, deadline):
                maybe = attempt > 0 or outcome.maybe_applied
                return StoreUnavailable(maybe, outcome.detail)
            attempt += 1

    async def resolve_conflict(
        self, change: Change, deadline: float
    ) -> AppendOutcome | None:
        """Return whether a change whose check failed had been made before.

        Returns:
          None if the place in the order was taken by somebody else.
        """
        attempt = 0
        while True:
            found = await read_change(self.store, change.version)
            if isinstance(found, Change):
                same = found.token == change.token
                return Appended(change.version, change) if same else None
            if isinstance(found, Absent):
                return await self.resolve_missing_change(change)
            if not await self.back_off(attempt, deadline):
                return StoreUnavailable(True, found.detail)
            attempt += 1

    async def resolve_missing_change(
        self, change: Change
    ) -> StoreUnavailable | None:
        """Tell a change that was never made from one deleted by compaction."""
        head = await read_head(self.store)
        if isinstance(head, Head) and head.version < change.version:
            return None
        return StoreUnavailable(True, "the change log was shortened")

    async def conflict_outcome(self, current_row: Row | None) -> ChangeConflict:
        """Return who wrote the row that was not as expected."""
        version = resource_version(current_row)
        value = current_row.value if current_row is not None else None
        last_change = await self.find_change(version)
        if last_change is None:
            return ChangeConflict(value, "", version)
        return ChangeConflict(value, last_change.actor, version, last_change.at)

    async def unchanged_outcome(self, current_row: Row | None) -> Unchanged:
        """Return who wrote the row that is as wanted."""
        version = resource_version(current_row)
        last_change = await self.find_change(version)
        return Unchanged(version, last_change.actor if last_change else "")

    async def find_change(self, version: int) -> Change | None:
        """Return the change of a version, if it is still known."""
        if version == 0:
            return None
        found = await read_change(self.store, version)
        return found if isinstance(found, Change) else None

    async def back_off(self, attempt: int, deadline: float) -> bool:
        """Wait before another attempt; return whether time is left for it."""
        ceiling = RETRY_PAUSE_SECONDS * 2 ** min(attempt, 10)
        ceiling = min(ceiling, MAX_RETRY_PAUSE_SECONDS)
        pause = self.rng.uniform(0, ceiling)
        if self.clock() + pause >= deadline:
            return False
        await asyncio.sleep(pause)
        return True
