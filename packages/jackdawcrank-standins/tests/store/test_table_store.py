from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawcrank_standins.store import (
    Check,
    Committed,
    Conflict,
    Conflicted,
    Put,
    Row,
    RowKey,
    TableStore,
    TableTransaction,
    parse_transaction,
)

ROW = RowKey("groups", "a")


def put(value: Any, version: int | None) -> TableTransaction:
    return TableTransaction((Check(ROW, version),), (Put(ROW, value),))


def test_versions_grow_by_one() -> None:
    store = TableStore()
    assert store.transact(put("x", None)) == Committed({ROW: 1})
    assert store.transact(put("y", 1)) == Committed({ROW: 2})
    assert store.get("groups", "a") == Row("a", "y", 2)


def test_a_failed_check_changes_nothing() -> None:
    store = TableStore()
    store.transact(put("x", None))
    other = RowKey("groups", "b")
    outcome = store.transact(
        TableTransaction(
            (Check(other, None), Check(ROW, None)),
            (Put(other, 1),),
            (ROW,),
        )
    )
    assert outcome == Conflicted((Conflict(ROW, 1, "x"),))
    assert store.get("groups", "b") is None
    assert store.get("groups", "a") is not None


def test_a_deleted_row_goes_on_from_its_version() -> None:
    store = TableStore()
    store.transact(put("x", None))
    store.transact(TableTransaction((Check(ROW, 1),), (), (ROW,)))
    assert store.get("groups", "a") is None
    assert store.transact(put("y", None)) == Committed({ROW: 2})


def test_values_are_copies() -> None:
    store = TableStore()
    value = {"list": [1]}
    store.transact(put(value, None))
    value["list"].append(2)
    row = store.get("groups", "a")
    assert row is not None
    assert row.value == {"list": [1]}


@given(st.sets(st.text(min_size=1)), st.integers(1, 5))
def test_scan_pages_through_all_keys(keys: set[str], limit: int) -> None:
    store = TableStore()
    for key in keys:
        store.transact(TableTransaction(puts=(Put(RowKey("t", key), 0),)))
    found: list[str] = []
    more = True
    while more:
        rows, more = store.scan("t", found[-1] if found else "", limit)
        found.extend(row.key for row in rows)
    assert found == sorted(keys)


@pytest.mark.parametrize(
    "body",
    [
        [],
        {"writes": []},
        {"checks": [{"table": "t", "key": "k"}]},
        {"checks": [{"table": "t", "key": "k", "version": "1"}]},
        {"checks": [{"table": "t", "key": "k", "version": True}]},
        {"puts": [{"table": "t", "key": 1, "value": 1}]},
        {"puts": [{"table": "t", "key": "k"}]},
        {"deletes": 5},
    ],
)
def test_malformed_transactions(body: Any) -> None:
    with pytest.raises(ValueError, match=r".+"):
        parse_transaction(body)
