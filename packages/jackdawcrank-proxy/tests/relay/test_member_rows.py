import json
import random
from typing import Any

import pytest

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.member_rows import MemberRows
from jackdawcrank.seams.metadata_store import StoredRow, TableSnapshot
from jackdawcrank_policy.homes import Member

from .conftest import FakeStore

OWN = Member("vm1", "10.0.0.1", 7440, "north-a", "north", 1.0)


def row(**changes: Any) -> StoredRow:
    body = {
        "vm": "vm2",
        "host": "10.0.0.2",
        "port": 7440,
        "data_center": "north-a",
        "region": "north",
        "capacity": 1.0,
        "written_at": 100.0,
        **changes,
    }
    return StoredRow("vm2", json.dumps(body).encode(), 3)


@pytest.fixture
def members(store: FakeStore, log: DecisionLog) -> MemberRows:
    return MemberRows(store, OWN, log, random.Random(1))  # type: ignore[arg-type]


def test_row_makes_a_vm_a_member(members: MemberRows) -> None:
    members.apply_image(TableSnapshot((row(),), 5, 100.0))
    assert set(members.members) == {"vm1", "vm2"}


@pytest.mark.parametrize(
    "changes",
    [
        {"capacity": "2"},
        {"capacity": None},
        {"capacity": float("nan")},
        {"port": "7440"},
        {"port": -1},
        {"port": 70_000},
        {"region": 7},
        {"host": None},
        {"unknown": 1},
        {"written_at": "yesterday"},
        {"written_at": 10**400},
        {"capacity": 10**400},
    ],
)
def test_malformed_row_names_no_member(
    members: MemberRows, changes: dict[str, Any]
) -> None:
    members.apply_image(TableSnapshot((row(**changes),), 5, 100.0))
    assert set(members.members) == {"vm1"}


def test_deeply_nested_row_names_no_member(members: MemberRows) -> None:
    nested = StoredRow("vm3", b"[" * 4_000, 3)
    members.apply_image(TableSnapshot((nested, row()), 5, 100.0))
    assert set(members.members) == {"vm1", "vm2"}
