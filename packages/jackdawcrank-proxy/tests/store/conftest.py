"""Fixtures for the tests of the store."""

import random

import attrs
import pytest

from jackdawcrank.store import ChangeLog, StoreClient

SEED = 20


@attrs.define
class Clock:
    """A clock that a test can advance."""

    time: float = 100.0

    def __call__(self) -> float:
        return self.time


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def change_log(client: StoreClient) -> ChangeLog:
    return ChangeLog(
        client, rng=random.Random(SEED), wall_clock=lambda: 1_800_000_000.0
    )
