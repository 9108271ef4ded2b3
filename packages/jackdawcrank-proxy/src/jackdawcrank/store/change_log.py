"""Appends to the change log, the total order of all changes."""

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

    After a lost response the same transaction is sent again. Its check of
    the head lets it commit at most once. If the check fails, the token of
    the change log entry shows whether the first attempt was committed.

    Attributes:
      store: The store.
      clock: Returns monotonic seconds.
      wall_clock: Returns seconds since the epoch.
      rng: The random source of the jitter.
      append_seconds: The timeout of one append.
      new_token: Returns a unique token for a write.
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
          name: The resource's name.
          body: The new row without its version; None deletes the row.
          expected: The required resource version; 0 if the resource must not
            exist, None for any.
          actor: The user or VM that makes the change.
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
        """Change a group's row if it meets a precondition."""
        token = self.new_token()
        body = {**body, "token": token}
        write = Write(Kind.GROUP_ROW, name, body, actor, token)
        return await self.run(write, expected)

    async def run(
        self, write: Write, expected: RowPrecondition
    ) -> AppendOutcome:
        """Append a write, retrying until its deadline."""
        deadline = self.clock() + self.append_seconds
        outcome: AppendOutcome | None = None
        attempt = 0
        while outcome is None:
            outcome = await self.attempt(write, expected, deadline)
            if outcome is None and not await self.back_off(attempt, deadline):
                detail = (
                    "other writers changed the log first until the deadline"
                )
                outcome = StoreUnavailable(False, detail)
            attempt += 1
        return outcome

    async def attempt(
        self, write: Write, expected: RowPrecondition, deadline: float
    ) -> AppendOutcome | None:
        """Append a write after the current head; None if the head changed."""
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
        """Return the change log entry of a write at a version."""
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
        """Send a transaction until its outcome is known or time runs out.

        Returns:
          None if another change was committed at this version.
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
        """Find out whether a conflicting change was committed earlier.

        An earlier attempt of the same transaction may have caused the
        conflict.

        Returns:
          None if another writer committed a change at this version.
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
        """Distinguish an uncommitted change from a compacted one.

        Returns:
          None if the change was never committed.
        """
        head = await read_head(self.store)
        if isinstance(head, Head) and head.version < change.version:
            return None
        return StoreUnavailable(
            True, "the log entry is missing; it may have been compacted"
        )

    async def conflict_outcome(self, current_row: Row | None) -> ChangeConflict:
        """Return the conflict with the row's last change."""
        version = resource_version(current_row)
        value = current_row.value if current_row is not None else None
        last_change = await self.find_change(version)
        if last_change is None:
            return ChangeConflict(value, "", version)
        return ChangeConflict(value, last_change.actor, version, last_change.at)

    async def unchanged_outcome(self, current_row: Row | None) -> Unchanged:
        """Return the outcome for a row that already has its new state."""
        version = resource_version(current_row)
        last_change = await self.find_change(version)
        return Unchanged(version, last_change.actor if last_change else "")

    async def find_change(self, version: int) -> Change | None:
        """Return the change at a version; None if it cannot be read."""
        if version == 0:
            return None
        found = await read_change(self.store, version)
        return found if isinstance(found, Change) else None

    async def back_off(self, attempt: int, deadline: float) -> bool:
        """Wait before a retry.

        Returns:
          False, without waiting, if the wait would reach the deadline.
        """
        ceiling = RETRY_PAUSE_SECONDS * 2 ** min(attempt, 10)
        ceiling = min(ceiling, MAX_RETRY_PAUSE_SECONDS)
        pause = self.rng.uniform(0, ceiling)
        if self.clock() + pause >= deadline:
            return False
        await asyncio.sleep(pause)
        return True
