"""Fixtures of the store's tests."""

import random
from collections.abc import AsyncIterator

import attrs
import pytest

from jackdawcrank.store import ChangeLog, StoreClient, StoreLimits
from jackdawcrank_standins.platform import Platform

SEED = 20


@attrs.define
class Clock:
    """A clock that a test can move on."""

    time: float = 100.0

    def __call__(self) -> float:
        return self.time


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
async def platform() -> AsyncIterator[Platform]:
    platform = Platform()
    await platform.start()
    yield platform
    await platform.close()


@pytest.fixture
async def client(platform: Platform) -> AsyncIterator[StoreClient]:
    limits = StoreLimits(per_second=1e6, burst=1e6, retry_seconds=0.0)
    client = StoreClient(platform.url, rng=random.Random(SEED), limits=limits)
    await client.start()
    yield client
    await client.close()


@pytest.fixture
def change_log(client: StoreClient) -> ChangeLog:
    return ChangeLog(
        client, rng=random.Random(SEED), wall_clock=lambda: 1_800_000_000.0
    )
