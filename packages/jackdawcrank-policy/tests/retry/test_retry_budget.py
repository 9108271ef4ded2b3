"""Tests of the retry budget and the backoff delays."""

import random

import hypothesis
import hypothesis.strategies as st

from jackdawcrank_policy.retry import RetryBudget, backoff_seconds


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(steps=st.lists(st.booleans(), max_size=500))
def test_retries_are_a_bounded_fraction_of_attempts(steps: list[bool]) -> None:
    budget = RetryBudget(fraction=0.1)
    attempts = retries = 0
    for is_attempt in steps:
        if is_attempt:
            attempts += 1
            budget.record_attempt()
        else:
            retries += budget.try_withdraw()
        assert retries <= 0.1 * attempts + 1e-6


def test_balance_is_bounded() -> None:
    budget = RetryBudget()
    for _ in range(10_000):
        budget.record_attempt()
    assert sum(budget.try_withdraw() for _ in range(100)) == 10


def test_backoff_has_full_jitter_below_growing_cap() -> None:
    rng = random.Random(1)
    for attempt, cap in ((0, 0.01), (3, 0.08), (50, 1.0)):
        delays = [backoff_seconds(attempt, rng) for _ in range(200)]
        assert 0.9 * cap < max(delays) <= cap
        assert min(delays) < 0.1 * cap
