"""Tests of the circuit breaker."""

import random

import pytest

from jackdawcrank.store.breaker import (
    FAILURE_THRESHOLD,
    MAX_OPEN_SECONDS,
    CircuitBreaker,
)


@pytest.fixture
def breaker() -> CircuitBreaker:
    return CircuitBreaker(random.Random(1))


def fail(breaker: CircuitBreaker, times: int, now: float = 0.0) -> None:
    for _ in range(times):
        breaker.record_failure(now)


def test_breaker_stays_closed_below_threshold(breaker: CircuitBreaker) -> None:
    fail(breaker, FAILURE_THRESHOLD - 1)
    assert breaker.allow_request(0.0)


def test_open_breaker_allows_one_probe(
    breaker: CircuitBreaker,
) -> None:
    fail(breaker, FAILURE_THRESHOLD)
    assert breaker.open_until > 0
    assert not breaker.allow_request(breaker.open_until - 1e-6)
    assert breaker.allow_request(breaker.open_until)
    assert not breaker.allow_request(breaker.open_until + 1)


def test_success_closes_the_breaker(breaker: CircuitBreaker) -> None:
    fail(breaker, FAILURE_THRESHOLD)
    assert breaker.allow_request(MAX_OPEN_SECONDS)
    breaker.record_success()
    assert breaker.allow_request(MAX_OPEN_SECONDS)
    assert breaker.allow_request(MAX_OPEN_SECONDS)


def test_cancelled_probe_allows_another(
    breaker: CircuitBreaker,
) -> None:
    fail(breaker, FAILURE_THRESHOLD)
    assert breaker.allow_request(MAX_OPEN_SECONDS)
    breaker.record_cancellation()
    assert breaker.allow_request(MAX_OPEN_SECONDS)


def test_pauses_are_bounded_and_differ(breaker: CircuitBreaker) -> None:
    pauses = []
    for _ in range(50):
        breaker.record_failure(0.0)
        pauses.append(breaker.open_until)
    assert max(pauses) <= MAX_OPEN_SECONDS
    assert len(set(pauses[-20:])) == 20
