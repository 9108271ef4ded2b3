"""Tests of the pace of probes."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from jackdawcrank.backend.server_control import Unreachable
from jackdawcrank.groups.group_probes import GroupProbes
from jackdawcrank.timer import TimerService
from jackdawcrank_policy.detection import (
    PROBE_INTERVAL_SECONDS,
    PrimaryHealth,
)
from jackdawcrank_policy.values import (
    GroupPhase,
    GroupRow,
    Position,
    ServerReport,
    ServerRole,
)
from jackdawcrank_standins.history import run_virtual

SETTLE_SECONDS = 5.0
WATCHED_SECONDS = 10.0


class Server:
    """Counts its probes and answers while it is up."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.probed: list[float] = []
        self.up = True

    async def probe(self, timeout_seconds: float) -> ServerReport | Unreachable:
        self.probed.append(asyncio.get_running_loop().time())
        if not self.up:
            await asyncio.sleep(timeout_seconds)
            return Unreachable("no answer in time")
        role = ServerRole.PRIMARY if self.name == "s1" else ServerRole.REPLICA
        return ServerReport(self.name, 1, role, Position(1, 1), True)


class Watch:
    """The probes of three servers on virtual time."""

    def __init__(self, coordinating: bool) -> None:
        self.loop = asyncio.get_running_loop()
        self.timer = TimerService(self.loop.time)
        self.servers: dict[str, Any] = {
            name: Server(name) for name in ("s1", "s2", "s3")
        }
        self.probes = GroupProbes(self.servers, self.timer, lambda result: None)
        self.coordinating = coordinating

    async def settle(self) -> None:
        await self.timer.start()
        row = GroupRow("ledger", 1, GroupPhase.ACTIVE, "s1", "vm1")
        self.probes.take_row(row, self.coordinating)
        self.probes.start()
        await asyncio.sleep(SETTLE_SECONDS)

    async def rates(self) -> list[float]:
        """Return the probes a second of each server over some time."""
        for server in self.servers.values():
            server.probed.clear()
        await asyncio.sleep(WATCHED_SECONDS)
        return [
            round(len(server.probed) / WATCHED_SECONDS, 1)
            for server in self.servers.values()
        ]

    async def close(self) -> None:
        await self.probes.close()
        await self.timer.close()


def on_virtual_time(
    test: Callable[[], Coroutine[Any, Any, None]],
) -> Callable[[], None]:
    @functools.wraps(test)
    def run() -> None:
        run_virtual(test())

    del run.__wrapped__
    return run


@on_virtual_time
async def test_only_the_primary_is_probed_often() -> None:
    watch = Watch(coordinating=True)
    await watch.settle()
    assert await watch.rates() == [
        pytest.approx(1 / PROBE_INTERVAL_SECONDS, abs=0.2),
        pytest.approx(1.0, abs=0.15),
        pytest.approx(1.0, abs=0.15),
    ]
    await watch.close()


@on_virtual_time
async def test_a_doubted_primary_has_all_servers_probed_often() -> None:
    watch = Watch(coordinating=True)
    await watch.settle()
    watch.servers["s1"].up = False
    await asyncio.sleep(PROBE_INTERVAL_SECONDS + 0.4 + 0.05)
    assert watch.probes.detector.misses == 1
    for server in watch.servers.values():
        server.probed.clear()
    await asyncio.sleep(0.8)
    now = watch.loop.time()
    assert watch.probes.detector.health(now) is PrimaryHealth.SUSPECT
    assert len(watch.servers["s2"].probed) >= 3
    assert len(watch.servers["s3"].probed) >= 3
    assert watch.probes.reports().keys() == {"s2", "s3"}
    await watch.close()


@on_virtual_time
async def test_a_refresh_shows_the_present_state() -> None:
    watch = Watch(coordinating=True)
    await watch.settle()
    await asyncio.sleep(0.3)
    asked_at = watch.loop.time()
    await watch.probes.refresh()
    latest = [probe.latest for probe in watch.probes.probes.values()]
    assert all(one and one.sent_at >= asked_at for one in latest)
    await watch.close()
