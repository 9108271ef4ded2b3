"""Tests of the number of store calls per claim and of lost answers."""

import attrs
import pytest

from jackdawcrank.groups.group_store import Conflict, Stored
from jackdawcrank.groups.prefetched_group_rows import PrefetchedGroupRows
from jackdawcrank.store.change_log import ChangeLog
from jackdawcrank.store.group_rows import GroupRows
from jackdawcrank.store.outcome import (
    Absent,
    Committed,
    ConflictingRow,
    Row,
    StoreUnavailable,
)
from jackdawcrank.store.outcome import Conflict as RowConflict
from jackdawcrank.store.transaction import Transaction
from jackdawcrank_policy.values import GroupPhase, GroupRow

CLAIMED = GroupRow("ledger", 1, GroupPhase.PREPARING, "", "vm1")
OPENED = attrs.evolve(CLAIMED, phase=GroupPhase.ACTIVE, primary="s1")


@attrs.define
class FakeTables:
    """Tables that count calls and can lose answers to transactions."""

    rows: dict[tuple[str, str], Row] = attrs.field(factory=dict)
    gets: int = 0
    transactions: int = 0
    lost_transactions: set[int] = attrs.field(factory=set)

    async def get(self, table: str, key: str) -> Row | Absent:
        self.gets += 1
        return self.rows.get((table, key), Absent())

    async def transact(
        self, transaction: Transaction
    ) -> Committed | RowConflict | StoreUnavailable:
        self.transactions += 1
        for check in transaction.checks:
            row = self.rows.get((check.table, check.key))
            if (row.version if row else None) != check.version:
                return RowConflict(
                    (ConflictingRow(check.table, check.key, None, None),)
                )
        versions = {}
        for put in transaction.puts:
            row = self.rows.get((put.table, put.key))
            version = row.version + 1 if row else 1
            self.rows[put.table, put.key] = Row(put.key, put.value, version)
            versions[f"{put.table}/{put.key}"] = version
        if self.transactions in self.lost_transactions:
            return StoreUnavailable(maybe_applied=True)
        return Committed(versions)


@pytest.fixture
def tables() -> FakeTables:
    return FakeTables()


@pytest.fixture
def rows(tables: FakeTables) -> PrefetchedGroupRows:
    log = ChangeLog(tables)  # type: ignore[arg-type]
    return PrefetchedGroupRows(GroupRows(tables, log, "vm1"))  # type: ignore[arg-type]


async def test_opening_after_claim_takes_one_call(
    tables: FakeTables, rows: PrefetchedGroupRows
) -> None:
    assert await rows.claim(None, CLAIMED) == Stored(1)
    assert (tables.gets, tables.transactions) == (2, 1)
    assert await rows.claim(CLAIMED, OPENED) == Stored(2)
    assert (tables.gets, tables.transactions) == (2, 2)
    assert await rows.read("ledger") == OPENED


async def test_a_prepared_claim_takes_one_call(
    tables: FakeTables, rows: PrefetchedGroupRows
) -> None:
    await rows.prepare("ledger")
    gets = tables.gets
    assert await rows.claim(None, CLAIMED) == Stored(1)
    assert (tables.gets, tables.transactions) == (gets, 1)


async def test_change_of_another_group_in_between_is_retried(
    tables: FakeTables, rows: PrefetchedGroupRows
) -> None:
    await rows.claim(None, CLAIMED)
    other = GroupRows(tables, rows.rows.change_log, "vm2")  # type: ignore[arg-type]
    assert await other.claim(None, attrs.evolve(CLAIMED, group="depot")) == (
        Stored(2)
    )
    assert await rows.claim(CLAIMED, OPENED) == Stored(3)


async def test_row_claimed_by_another_vm_conflicts(
    tables: FakeTables, rows: PrefetchedGroupRows
) -> None:
    await rows.claim(None, CLAIMED)
    other = GroupRows(tables, rows.rows.change_log, "vm2")  # type: ignore[arg-type]
    taken = attrs.evolve(CLAIMED, term=2, coordinator="vm2")
    assert await other.claim(CLAIMED, taken) == Stored(2)
    assert await rows.claim(CLAIMED, OPENED) == Conflict(taken)


async def test_lost_answers_resolve_to_stored_version(
    tables: FakeTables, rows: PrefetchedGroupRows
) -> None:
    tables.lost_transactions = {1, 2}
    assert await rows.claim(None, CLAIMED) == Stored(1)
    assert await rows.claim(CLAIMED, OPENED) == Stored(2)
    assert await rows.read("ledger") == OPENED
