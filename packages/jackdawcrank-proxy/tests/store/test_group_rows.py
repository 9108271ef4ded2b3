"""Tests of claims on group rows."""

import attrs
import pytest

from jackdawcrank.groups.group_store import (
    Conflict,
    Stored,
    StoreUnavailable,
)
from jackdawcrank.store import ChangeLog, StoreClient
from jackdawcrank.store.group_rows import GroupRows
from jackdawcrank_policy.values import (
    Branch,
    GroupPhase,
    GroupRow,
    TermStart,
)
from jackdawcrank_standins.platform import Platform, StopMode

ROW = GroupRow(
    "g",
    1,
    GroupPhase.ACTIVE,
    "s-1",
    "vm-1",
    ("vm-1", "vm-2"),
    Branch((TermStart(1, 0),)),
)


@pytest.fixture
def rows(client: StoreClient, change_log: ChangeLog) -> GroupRows:
    return GroupRows(client, change_log, "vm-1")


async def test_stored_row_is_read_back(rows: GroupRows) -> None:
    assert await rows.read("g") is None
    assert await rows.claim(None, ROW) == Stored(1)
    assert await rows.read("g") == ROW


async def test_claim_on_an_outdated_row_conflicts(rows: GroupRows) -> None:
    await rows.claim(None, ROW)
    newer = attrs.evolve(ROW, term=2, coordinator="vm-2")
    assert await rows.claim(ROW, newer) == Stored(2)
    competing = attrs.evolve(ROW, term=2, coordinator="vm-1")
    assert await rows.claim(ROW, competing) == Conflict(newer)
    assert await rows.claim(None, competing) == Conflict(newer)


async def test_a_repeated_claim_counts_as_stored(rows: GroupRows) -> None:
    await rows.claim(None, ROW)
    newer = attrs.evolve(ROW, term=2)
    await rows.claim(ROW, newer)
    assert await rows.claim(ROW, newer) == Stored(2)


async def test_claim_survives_a_lost_response(
    rows: GroupRows, platform: Platform
) -> None:
    platform.faults.lose_answers = 1
    assert await rows.claim(None, ROW) == Stored(1)


async def test_an_outage_is_reported(
    rows: GroupRows, platform: Platform
) -> None:
    platform.faults.stop(StopMode.REFUSE)
    assert isinstance(await rows.claim(None, ROW), StoreUnavailable)
    assert isinstance(await rows.read("g"), StoreUnavailable)
