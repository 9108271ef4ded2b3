"""Tests of the circuit breaker."""

import random

import pytest

from jackdawcrank.store.breaker import (
    FAILURES_TO_OPEN,
    MAX_PAUSE_SECONDS,
    CircuitBreaker,
)


@pytest.fixture
def breaker() -> CircuitBreaker:
    return CircuitBreaker(random.Random(1))


def fail(breaker: CircuitBreaker, times: int, now: float = 0.0) -> None:
    for _ in range(times):
        breaker.failed(now)


def test_a_few_failures_stop_nothing(breaker: CircuitBreaker) -> None:
    fail(breaker, FAILURES_TO_OPEN - 1)
    assert breaker.allows(0.0)


def test_an_open_breaker_lets_one_request_try(
    breaker: CircuitBreaker,
) -> None:
    fail(breaker, FAILURES_TO_OPEN)
    assert breaker.open_until > 0
    assert not breaker.allows(breaker.open_until - 1e-6)
    assert breaker.allows(breaker.open_until)
    assert not breaker.allows(breaker.open_until + 1)


def test_an_answer_closes_the_breaker(breaker: CircuitBreaker) -> None:
    fail(breaker, FAILURES_TO_OPEN)
    assert breaker.allows(MAX_PAUSE_SECONDS)
    breaker.succeeded()
    assert breaker.allows(MAX_PAUSE_SECONDS)
    assert breaker.allows(MAX_PAUSE_SECONDS)


def test_an_abandoned_try_leaves_room_for_another(
    breaker: CircuitBreaker,
) -> None:
    fail(breaker, FAILURES_TO_OPEN)
    assert breaker.allows(MAX_PAUSE_SECONDS)
    breaker.abandoned()
    assert breaker.allows(MAX_PAUSE_SECONDS)


def test_pauses_are_bounded_and_differ(breaker: CircuitBreaker) -> None:
    pauses = []
    for _ in range(50):
        breaker.failed(0.0)
        pauses.append(breaker.open_until)
    assert max(pauses) <= MAX_PAUSE_SECONDS
    assert len(set(pauses[-20:])) == 20
