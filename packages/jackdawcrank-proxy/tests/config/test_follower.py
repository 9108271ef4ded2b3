"""Tests that a follower applies newer versions and never reverts."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from jackdawcrank.config import (
    ChangeLogCompactor,
    ConfigurationFollower,
    PeerUpdate,
    decode_peer_record,
    peer_records,
)
from jackdawcrank.config import follower as follower_module
from jackdawcrank.store import (
    ChangeLog,
    StoreClient,
    StoreLimits,
    decode_change,
)
from jackdawcrank.timer import ManualTimer
from jackdawcrank_policy.configuration import (
    Change,
    Configuration,
    ConfigurationState,
    Kind,
)
from jackdawcrank_standins.platform import Platform, StopMode

Append = Callable[..., Any]
EVENTS = (
    "append",
    "read",
    "read other",
    "stop store",
    "start store",
    "ask peer",
    "stale records",
    "restart",
    "collect",
)


async def test_changes_are_applied(
    follower: ConfigurationFollower, append: Append, timer: ManualTimer
) -> None:
    seen: list[tuple[int, int]] = []
    follower.on_change = lambda configuration, changes: seen.append(
        (configuration.version, len(changes))
    )
    await follower.start()
    await append("a", 3)
    await append("b", 4)
    assert follower.version == 0
    await timer.advance(1.0)
    assert follower.configuration.groups["b"].slots_per_server == 4
    assert seen == [(2, 2)]


async def test_head_read_reports_time_before_send(
    follower: ConfigurationFollower, append: Append, timer: ManualTimer
) -> None:
    reads: list[tuple[float, int, int]] = []
    follower.on_head_read = lambda sent_at, version: reads.append(
        (sent_at, version, follower.version)
    )
    await append("a", 3)
    timer.time = 7.0
    await follower.read()
    assert reads == [(7.0, 1, 1)]


async def test_head_read_is_not_reported_before_catch_up(
    follower: ConfigurationFollower,
    append: Append,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def nothing(*args: object) -> tuple[Change, ...]:
        return ()

    reads: list[int] = []
    follower.on_head_read = lambda sent_at, version: reads.append(version)
    await append("a", 3)
    with monkeypatch.context() as patch:
        patch.setattr(follower_module, "read_changes", nothing)
        await follower.read()
    assert reads == []
    await follower.read()
    assert reads == [1]


async def test_idle_follower_reads_head_once_per_interval(
    follower: ConfigurationFollower,
    client: StoreClient,
    append: Append,
    timer: ManualTimer,
) -> None:
    for number in range(5):
        await append(f"g{number}", 3)
    await follower.start()
    before = client.traffic.reads
    await timer.advance(80.0)
    assert 95 <= client.traffic.reads - before <= 105


async def test_newer_peer_version_triggers_immediate_read(
    follower: ConfigurationFollower, append: Append, timer: ManualTimer
) -> None:
    await follower.start()
    await append("a", 3)
    await timer.advance(0.2)
    await follower.handle_peer_version(1)
    assert follower.version == 1


async def test_consecutive_peer_versions_are_each_read_once(
    follower: ConfigurationFollower, client: StoreClient, append: Append
) -> None:
    await follower.read()
    for version in (1, 2):
        await append("a", version)
        await follower.handle_peer_version(version)
        assert follower.version == version
    before = client.traffic.reads
    await follower.handle_peer_version(2)
    await follower.handle_peer_version(9)
    await follower.handle_peer_version(9)
    assert client.traffic.reads == before + 1


async def test_store_availability_changes_are_reported(
    follower: ConfigurationFollower, platform: Platform, timer: ManualTimer
) -> None:
    states: list[bool] = []
    follower.on_store_availability = states.append
    await follower.start()
    platform.faults.stop(StopMode.REFUSE)
    await timer.advance(2.0)
    platform.faults.start()
    follower.store.channel.breaker.record_success()
    await timer.advance(1.0)
    assert states == [True, False, True]


async def test_follower_without_store_reads_from_peers(
    follower: ConfigurationFollower,
    client: StoreClient,
    append: Append,
    platform: Platform,
    timer: ManualTimer,
) -> None:
    peer = ConfigurationFollower(client, ManualTimer())
    await append("a", 3)
    await follower.read()
    await append("a", 4)
    await peer.read()
    renewed: list[int] = []
    follower.on_head_read = lambda sent_at, version: renewed.append(version)

    async def ask(version: int) -> list[PeerUpdate]:
        _, records = peer_records(peer.state, version, 100)
        found = [decode_peer_record(record) for record in records]
        return [item for item in found if item is not None]

    follower.read_from_peers = ask
    platform.faults.stop(StopMode.REFUSE)
    await timer.advance(5.0)
    await follower.read()
    assert follower.version == 2
    assert follower.configuration.groups["a"].slots_per_server == 4
    assert renewed == []


async def test_peer_without_old_changes_sends_snapshot(
    append: Append, client: StoreClient
) -> None:
    source = ConfigurationFollower(client, ManualTimer())
    for slots in range(1, 6):
        await append("a", slots)
    await source.read()
    source.state.recent.clear()
    first, records = peer_records(source.state, 2, 100)
    assert first == 5
    target = ConfigurationFollower(client, ManualTimer())
    target.apply_peer_records(records)
    assert target.configuration == source.configuration


def test_malformed_records_are_ignored() -> None:
    bad = (b"", b"{", b"[]", b"{}", b'{"snapshot": "AA"}', b'{"version": 1}')
    assert [decode_peer_record(record) for record in bad] == [None] * len(bad)


class Scenario:
    """Runs events and compares the follower with the committed states."""

    def __init__(self, platform: Platform, seed: int) -> None:
        self.platform = platform
        self.rng = random.Random(seed)
        limits = StoreLimits(per_second=1e6, burst=1e6, retry_delay_seconds=0.0)
        self.client = StoreClient(platform.url, rng=self.rng, limits=limits)
        self.log = ChangeLog(self.client, rng=self.rng, append_seconds=0.02)
        self.expected = [Configuration()]
        self.follower = self.new_follower()
        self.peer = self.new_follower()
        self.compactor = ChangeLogCompactor(
            self.client,
            self.peer.state,
            ManualTimer(),
            compaction_threshold=4,
            retained_changes=1,
        )
        self.stale: list[bytes] = []

    def new_follower(self) -> ConfigurationFollower:
        return ConfigurationFollower(self.client, ManualTimer())

    async def step(self, event: str) -> None:
        self.client.channel.breaker.record_success()
        if event == "append":
            await self.append()
        elif event == "read":
            await self.follower.read()
        elif event == "read other":
            await self.peer.read()
        elif event == "stop store":
            self.platform.faults.stop(StopMode.REFUSE)
        elif event == "start store":
            self.platform.faults.start()
        elif event == "ask peer":
            _, records = peer_records(self.peer.state, self.follower.version, 3)
            self.stale += records
            self.follower.apply_peer_records(records)
        elif event == "stale records":
            self.rng.shuffle(self.stale)
            self.follower.apply_peer_records(self.stale)
        elif event == "collect":
            await self.compactor.compact()
        else:
            await self.restart()

    async def append(self) -> None:
        name, slots = self.rng.choice("ab"), self.rng.randint(1, 99)
        body = {"spec": {"slotsPerServer": slots}}
        await self.log.append(Kind.DATABASE_GROUP, name, body, None, "t")
        rows, _ = self.platform.tables.scan("changes", "", 1000)
        for row in rows:
            if int(row.key) == len(self.expected):
                change = decode_change(int(row.key), row.value)
                self.expected.append(self.expected[-1].with_change(change))

    async def restart(self) -> None:
        old = self.follower
        self.follower = self.new_follower()
        await self.follower.read()
        if self.follower.store_available:
            assert self.follower.version >= old.version

    def check(self, before: int, restarted: bool) -> None:
        follower = self.follower
        assert restarted or follower.version >= before
        assert follower.configuration == self.expected[follower.version]


@settings(
    max_examples=30,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    events=st.lists(st.sampled_from(EVENTS), min_size=10, max_size=50),
    seed=st.integers(0, 2**16),
)
def test_any_interleaving_shows_only_committed_states(
    events: list[str], seed: int
) -> None:
    async def run() -> None:
        platform = Platform()
        await platform.start()
        scenario = Scenario(platform, seed)
        await scenario.client.start()
        for event in events:
            before = scenario.follower.version
            await scenario.step(event)
            scenario.check(before, restarted=event == "restart")
        platform.faults.start()
        scenario.client.channel.breaker.record_success()
        await scenario.follower.read()
        assert scenario.follower.version == len(scenario.expected) - 1
        scenario.check(0, restarted=False)
        await scenario.client.close()
        await platform.close()

    asyncio.run(run())


def test_delayed_old_changes_do_not_revert_state() -> None:
    """Changes read before a pause of the process arrive after newer ones."""
    state = ConfigurationState()
    changes = [
        Change(v, Kind.DATABASE_GROUP, "a", document={"spec": v})
        for v in (1, 2, 3)
    ]
    for change in (*changes, *changes[:2]):
        state.apply(change)
    assert state.version == 3
    assert state.current.entries["DatabaseGroup", "a"].version == 3
