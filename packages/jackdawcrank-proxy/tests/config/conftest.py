"""Fixtures for the configuration tests."""

import random
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from jackdawcrank.config import ConfigurationFollower
from jackdawcrank.store import Appended, ChangeLog, StoreClient
from jackdawcrank.timer import ManualTimer
from jackdawcrank_policy.configuration import Kind

Append = Callable[..., Any]


@pytest.fixture
def change_log(client: StoreClient) -> ChangeLog:
    return ChangeLog(client, rng=random.Random(2))


@pytest.fixture
def append(change_log: ChangeLog) -> Append:
    async def append(name: str, slots: int | None) -> int:
        body = None if slots is None else {"spec": {"slotsPerServer": slots}}
        outcome = await change_log.append(
            Kind.DATABASE_GROUP, name, body, None, "test"
        )
        assert isinstance(outcome, Appended)
        return outcome.version

    return append


@pytest.fixture
def timer() -> ManualTimer:
    return ManualTimer()


@pytest.fixture
def follower(
    client: StoreClient, timer: ManualTimer
) -> Iterator[ConfigurationFollower]:
    yield ConfigurationFollower(client, timer, rng=random.Random(3))
