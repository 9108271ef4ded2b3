"""Tests of the probe intervals of a group's servers."""

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
MEASUREMENT_SECONDS = 10.0


class Server:
    """Records the times of its probes and answers while it is up."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.probe_times: list[float] = []
        self.up = True

    async def probe(self, timeout_seconds: float) -> ServerReport | Unreachable:
        self.probe_times.append(asyncio.get_running_loop().time())
        if not self.up:
            await asyncio.sleep(timeout_seconds)
            return Unreachable("no answer in time")
        role = ServerRole.PRIMARY if self.name == "s1" else ServerRole.REPLICA
        return ServerReport(self.name, 1, role, Position(1, 1), True)


class ProbeHarness:
    """Group probes of three servers on virtual time."""

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
        self.probes.update_row(row, self.coordinating)
        self.probes.start()
        await asyncio.sleep(SETTLE_SECONDS)

    async def rates(self) -> list[float]:
        """Return the probes per second of each server."""
        for server in self.servers.values():
            server.probe_times.clear()
        await asyncio.sleep(MEASUREMENT_SECONDS)
        return [
            round(len(server.probe_times) / MEASUREMENT_SECONDS, 1)
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
    harness = ProbeHarness(coordinating=True)
    await harness.settle()
    assert await harness.rates() == [
        pytest.approx(1 / PROBE_INTERVAL_SECONDS, abs=0.2),
        pytest.approx(1.0, abs=0.15),
        pytest.approx(1.0, abs=0.15),
    ]
    await harness.close()


@on_virtual_time
async def test_silent_primary_speeds_up_all_probes() -> None:
    harness = ProbeHarness(coordinating=True)
    await harness.settle()
    harness.servers["s1"].up = False
    await asyncio.sleep(PROBE_INTERVAL_SECONDS + 0.4 + 0.05)
    assert harness.probes.detector.misses == 1
    for server in harness.servers.values():
        server.probe_times.clear()
    await asyncio.sleep(0.8)
    now = harness.loop.time()
    assert harness.probes.detector.health(now) is PrimaryHealth.SUSPECT
    assert len(harness.servers["s2"].probe_times) >= 3
    assert len(harness.servers["s3"].probe_times) >= 3
    assert harness.probes.reports().keys() == {"s2", "s3"}
    await harness.close()


@on_virtual_time
async def test_refresh_replaces_earlier_results() -> None:
    harness = ProbeHarness(coordinating=True)
    await harness.settle()
    await asyncio.sleep(0.3)
    asked_at = harness.loop.time()
    await harness.probes.refresh()
    latest = [probe.latest for probe in harness.probes.probes.values()]
    assert all(one and one.sent_at >= asked_at for one in latest)
    await harness.close()
