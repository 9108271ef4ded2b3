"""Tests of snapshots and of the compaction of the change log."""

from collections.abc import Callable
from typing import Any

import pytest

from jackdawcrank.config import (
    ChangeLogCompactor,
    ConfigurationFollower,
    decode_snapshot,
    encode_snapshot,
)
from jackdawcrank.config.compactor import DELETES_PER_TRANSACTION
from jackdawcrank.store import Head, StoreClient, read_head
from jackdawcrank.timer import ManualTimer
from jackdawcrank_standins.platform import Platform

Append = Callable[..., Any]
CHANGES = 12
COMPACTION_THRESHOLD = 10
RETAINED_CHANGES = 4


@pytest.fixture
async def compactor(
    client: StoreClient, follower: ConfigurationFollower, append: Append
) -> ChangeLogCompactor:
    for number in range(1, CHANGES + 1):
        await append(f"g{number % 5}", number)
    await follower.read()
    return ChangeLogCompactor(
        client,
        follower.state,
        ManualTimer(),
        compaction_threshold=COMPACTION_THRESHOLD,
        retained_changes=RETAINED_CHANGES,
    )


async def head_of(client: StoreClient) -> Head:
    head = await read_head(client)
    assert isinstance(head, Head)
    return head


async def test_covered_changes_are_deleted(
    compactor: ChangeLogCompactor, client: StoreClient, platform: Platform
) -> None:
    assert await compactor.compact()
    head = await head_of(client)
    assert (head.version, head.floor) == (
        CHANGES,
        CHANGES - RETAINED_CHANGES + 1,
    )
    rows, _ = platform.tables.scan("changes", "", 1000)
    left = [int(row.key) for row in rows]
    assert left == list(range(head.floor, CHANGES + 1))


async def test_new_proxy_loads_snapshot_and_later_changes(
    compactor: ChangeLogCompactor,
    client: StoreClient,
    follower: ConfigurationFollower,
    append: Append,
) -> None:
    await compactor.compact()
    await append("g1", 99)
    await follower.read()
    new = ConfigurationFollower(client, ManualTimer())
    before = client.traffic.reads
    await new.read()
    assert new.configuration == follower.configuration
    assert client.traffic.reads - before == 3


async def test_a_proxy_below_the_floor_loads_the_snapshot(
    client: StoreClient, append: Append
) -> None:
    slow = ConfigurationFollower(client, ManualTimer())
    await append("old", 1)
    await slow.read()
    quick = ConfigurationFollower(client, ManualTimer())
    for number in range(2, CHANGES):
        await append("g", number)
    await quick.read()
    compactor = ChangeLogCompactor(
        client,
        quick.state,
        ManualTimer(),
        compaction_threshold=COMPACTION_THRESHOLD,
        retained_changes=1,
    )
    assert await compactor.compact()
    replaced: list[int] = []
    slow.on_change = lambda c, changes: replaced.append(len(changes))
    await slow.read()
    assert slow.configuration == quick.configuration
    assert replaced == [0]


async def test_log_below_threshold_is_not_truncated(
    compactor: ChangeLogCompactor, client: StoreClient
) -> None:
    compactor.compaction_threshold = CHANGES + 1
    before = await head_of(client)
    assert not await compactor.compact()
    assert await head_of(client) == before


async def test_concurrent_change_aborts_truncation(
    compactor: ChangeLogCompactor,
    client: StoreClient,
    append: Append,
    platform: Platform,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    put_object = client.put_object

    async def put_after_change(*args: Any, **named: Any) -> Any:
        await append("g1", 77)
        return await put_object(*args, **named)

    monkeypatch.setattr(client, "put_object", put_after_change)
    assert not await compactor.compact()
    assert (await head_of(client)).floor == 1
    rows, _ = platform.tables.scan("changes", "", 1000)
    assert len(rows) == CHANGES + 1


async def test_long_log_is_truncated_in_batches(
    client: StoreClient, follower: ConfigurationFollower, append: Append
) -> None:
    total = DELETES_PER_TRANSACTION + 50
    for number in range(total):
        await append("g", number % 90 + 1)
    await follower.read()
    compactor = ChangeLogCompactor(
        client,
        follower.state,
        ManualTimer(),
        compaction_threshold=100,
        retained_changes=10,
    )
    floors: list[int] = []
    compactor.on_compacted = lambda head: floors.append(head.floor)
    assert await compactor.compact()
    assert floors == [DELETES_PER_TRANSACTION + 1, total - 9]


async def test_only_the_last_two_snapshots_are_kept(
    compactor: ChangeLogCompactor,
    client: StoreClient,
    follower: ConfigurationFollower,
    append: Append,
    platform: Platform,
) -> None:
    for _ in range(4):
        assert await compactor.compact()
        for number in range(CHANGES):
            await append("g1", number + 1)
        await follower.read()
    assert len(platform.objects.objects) == 2
    assert (await head_of(client)).snapshot in platform.objects.objects


async def test_a_malformed_snapshot_is_not_adopted(
    compactor: ChangeLogCompactor, client: StoreClient
) -> None:
    await compactor.compact()
    snapshot = (await head_of(client)).snapshot
    assert snapshot is not None
    await client.put_object(snapshot, b"garbage")
    new = ConfigurationFollower(client, ManualTimer())
    await new.read()
    assert new.version == 0


def test_snapshot_round_trip(
    compactor: ChangeLogCompactor,
) -> None:
    current = compactor.state.current
    assert decode_snapshot(encode_snapshot(current)) == current


@pytest.mark.parametrize("cut", [0, 1, 20])
def test_a_truncated_snapshot_is_refused(
    compactor: ChangeLogCompactor, cut: int
) -> None:
    data = encode_snapshot(compactor.state.current)
    assert decode_snapshot(data[:cut]) is None
