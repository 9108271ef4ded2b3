"""Tests of snapshots and of shortening the change log."""

from collections.abc import Callable
from typing import Any

import pytest

from jackdawcrank.config import (
    ChangeLogCollector,
    ConfigurationFollower,
    decode_snapshot,
    encode_snapshot,
)
from jackdawcrank.config.collector import DELETES_PER_TRANSACTION
from jackdawcrank.store import Head, StoreClient, read_head
from jackdawcrank.timer import ManualTimer
from jackdawcrank_standins.platform import Platform

Append = Callable[..., Any]
CHANGES = 12
COLLECT_AT = 10
KEEP = 4


@pytest.fixture
async def collector(
    client: StoreClient, follower: ConfigurationFollower, append: Append
) -> ChangeLogCollector:
    for number in range(1, CHANGES + 1):
        await append(f"g{number % 5}", number)
    await follower.read()
    return ChangeLogCollector(
        client,
        follower.state,
        ManualTimer(),
        collect_at=COLLECT_AT,
        keep=KEEP,
    )


async def head_of(client: StoreClient) -> Head:
    head = await read_head(client)
    assert isinstance(head, Head)
    return head


async def test_covered_changes_are_deleted(
    collector: ChangeLogCollector, client: StoreClient, platform: Platform
) -> None:
    assert await collector.collect()
    head = await head_of(client)
    assert (head.version, head.floor) == (CHANGES, CHANGES - KEEP + 1)
    rows, _ = platform.tables.scan("changes", "", 1000)
    left = [int(row.key) for row in rows]
    assert left == list(range(head.floor, CHANGES + 1))


async def test_a_new_proxy_loads_the_snapshot_and_the_rest(
    collector: ChangeLogCollector,
    client: StoreClient,
    follower: ConfigurationFollower,
    append: Append,
) -> None:
    await collector.collect()
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
    collector = ChangeLogCollector(
        client, quick.state, ManualTimer(), collect_at=COLLECT_AT, keep=1
    )
    assert await collector.collect()
    replaced: list[int] = []
    slow.on_change = lambda c, changes: replaced.append(len(changes))
    await slow.read()
    assert slow.configuration == quick.configuration
    assert replaced == [0]


async def test_a_short_log_is_left_alone(
    collector: ChangeLogCollector, client: StoreClient
) -> None:
    collector.collect_at = CHANGES + 1
    before = await head_of(client)
    assert not await collector.collect()
    assert await head_of(client) == before


async def test_a_race_with_a_change_shortens_nothing(
    collector: ChangeLogCollector,
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
    assert not await collector.collect()
    assert (await head_of(client)).floor == 1
    rows, _ = platform.tables.scan("changes", "", 1000)
    assert len(rows) == CHANGES + 1


async def test_a_long_log_is_shortened_step_by_step(
    client: StoreClient, follower: ConfigurationFollower, append: Append
) -> None:
    total = DELETES_PER_TRANSACTION + 50
    for number in range(total):
        await append("g", number % 90 + 1)
    await follower.read()
    collector = ChangeLogCollector(
        client, follower.state, ManualTimer(), collect_at=100, keep=10
    )
    floors: list[int] = []
    collector.on_collected = lambda head: floors.append(head.floor)
    assert await collector.collect()
    assert floors == [DELETES_PER_TRANSACTION + 1, total - 9]


async def test_only_the_last_two_snapshots_are_kept(
    collector: ChangeLogCollector,
    client: StoreClient,
    follower: ConfigurationFollower,
    append: Append,
    platform: Platform,
) -> None:
    for _ in range(4):
        assert await collector.collect()
        for number in range(CHANGES):
            await append("g1", number + 1)
        await follower.read()
    assert len(platform.objects.objects) == 2
    assert (await head_of(client)).snapshot in platform.objects.objects


async def test_a_malformed_snapshot_is_not_adopted(
    collector: ChangeLogCollector, client: StoreClient
) -> None:
    await collector.collect()
    snapshot = (await head_of(client)).snapshot
    assert snapshot is not None
    await client.put_object(snapshot, b"garbage")
    new = ConfigurationFollower(client, ManualTimer())
    await new.read()
    assert new.version == 0


def test_a_snapshot_survives_its_bytes(
    collector: ChangeLogCollector,
) -> None:
    current = collector.state.current
    assert decode_snapshot(encode_snapshot(current)) == current


@pytest.mark.parametrize("cut", [0, 1, 20])
def test_a_truncated_snapshot_is_refused(
    collector: ChangeLogCollector, cut: int
) -> None:
    data = encode_snapshot(collector.state.current)
    assert decode_snapshot(data[:cut]) is None
