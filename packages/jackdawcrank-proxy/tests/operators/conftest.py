"""Fixtures for the tests of the resource API."""

import random
from collections.abc import AsyncIterator, Mapping
from typing import Any

import aiohttp
import attrs
import pytest

from jackdawcrank.config import ConfigurationFollower
from jackdawcrank.operators import (
    ActionDone,
    ActionOutcome,
    ActionRefused,
    OperatorApi,
)
from jackdawcrank.store import ChangeLog, StoreClient, StoreLimits
from jackdawcrank.timeline import Timeline
from jackdawcrank.timer import ManualTimer
from jackdawcrank_policy.membership import MembershipView
from jackdawcrank_policy.values import Vm
from jackdawcrank_standins.platform import Platform

TOKENS = ("ada:secret-a", "plain")


@attrs.define
class Ports:
    """A minimal proxy with the functions that the resource API uses."""

    vm: str
    store: StoreClient
    change_log: ChangeLog
    follower: ConfigurationFollower
    timeline: Timeline
    vms: dict[str, Vm] = attrs.field(factory=dict)
    drained: list[str] = attrs.field(factory=list)
    promoted: list[tuple[str, str | None, str]] = attrs.field(factory=list)
    is_ready: bool = True

    def ready(self) -> bool:
        return self.is_ready

    def members(self) -> MembershipView:
        return MembershipView(tuple(sorted(self.vms)), (), self.vms)

    def status(self) -> Mapping[str, Any]:
        return {"boot": self.timeline.boot}

    def resource_status(self, kind: str, name: str) -> Mapping[str, Any]:
        return {}

    async def promote(
        self, group: str, server: str | None, actor: str, force: bool = False
    ) -> ActionOutcome:
        if self.promoted:
            return ActionRefused("a promotion is under way", 500)
        self.promoted.append((group, server, actor))
        return ActionDone({"group": group, "term": 2})

    async def drain_self(self, actor: str) -> ActionOutcome:
        self.drained.append(actor)
        return ActionDone({"vm": self.vm})

    async def request_outcome(
        self, group: str, request_id: str
    ) -> Mapping[str, Any] | None:
        return {"state": "done"} if request_id == "r-1" else None


@attrs.define
class Proxy:
    """A resource API with its proxy functions."""

    ports: Ports
    api: OperatorApi

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.api.port}"


@pytest.fixture
async def platform() -> AsyncIterator[Platform]:
    platform = Platform()
    await platform.start()
    yield platform
    await platform.close()


@pytest.fixture
async def proxies(platform: Platform) -> AsyncIterator[list[Proxy]]:
    limits = StoreLimits(per_second=1e6, burst=1e6, retry_delay_seconds=0.0)
    created: list[Proxy] = []
    for vm in ("vm-1", "vm-2"):
        rng = random.Random(vm)
        store = StoreClient(platform.url, rng=rng, limits=limits)
        await store.start()
        follower = ConfigurationFollower(store, ManualTimer(), rng=rng)
        log = ChangeLog(store, rng=rng, append_seconds=0.3)
        ports = Ports(vm, store, log, follower, Timeline(vm, f"boot-{vm}"))
        created.append(Proxy(ports, OperatorApi("127.0.0.1", 0, TOKENS, ports)))
    for proxy in created:
        await proxy.api.start()
    for proxy in created:
        proxy.ports.vms = {
            p.ports.vm: Vm(p.ports.vm, "127.0.0.1", 1, p.api.port)
            for p in created
        }
    yield created
    for proxy in created:
        await proxy.api.close()
        await proxy.ports.store.close()


@pytest.fixture
def proxy(proxies: list[Proxy]) -> Proxy:
    return proxies[0]


@pytest.fixture
async def http(proxy: Proxy) -> AsyncIterator[aiohttp.ClientSession]:
    headers = {"Authorization": f"Bearer {TOKENS[0]}"}
    async with aiohttp.ClientSession(proxy.url, headers=headers) as session:
        yield session


@pytest.fixture
async def other_http(
    proxies: list[Proxy],
) -> AsyncIterator[aiohttp.ClientSession]:
    headers = {
        "Authorization": f"Bearer {TOKENS[1]}",
        "Jackdawcrank-Actor": "ben",
    }
    url = proxies[1].url
    async with aiohttp.ClientSession(url, headers=headers) as session:
        yield session
