"""Fixtures of several parts' tests."""

import random
from collections.abc import AsyncIterator

import pytest

from jackdawcrank.store import StoreClient, StoreLimits
from jackdawcrank_standins.platform import Platform


@pytest.fixture
async def platform() -> AsyncIterator[Platform]:
    platform = Platform()
    await platform.start()
    yield platform
    await platform.close()


@pytest.fixture
async def client(platform: Platform) -> AsyncIterator[StoreClient]:
    limits = StoreLimits(per_second=1e6, burst=1e6, retry_delay_seconds=0.0)
    client = StoreClient(platform.url, rng=random.Random(1), limits=limits)
    await client.start()
    yield client
    await client.close()
