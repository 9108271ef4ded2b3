"""Tests of the rate and concurrency limits of callers."""

import pytest

from jackdawcrank_policy.limits import CallerLimits
from jackdawcrank_policy.values import CallerClassSpec, NotRun, NotRunReason

SPEC = CallerClassSpec("audit", max_concurrent=2, rate_per_second=10, burst=3)


@pytest.fixture
def limits() -> CallerLimits:
    return CallerLimits(SPEC, max_callers=2)


def run(limits: CallerLimits, caller: str, now: float) -> NotRun | None:
    refusal = limits.admit(caller, now)
    if refusal is None:
        limits.finish(caller)
    return refusal


def test_rate_is_limited_with_exact_retry_after(
    limits: CallerLimits,
) -> None:
    assert [run(limits, "a", 0.0) for _ in range(3)] == [None] * 3
    refusal = run(limits, "a", 0.0)
    assert refusal is not None
    assert refusal.reason is NotRunReason.LIMITED
    assert refusal.retry_after_ms == 100
    assert run(limits, "b", 0.0) is None
    assert run(limits, "a", 0.101) is None


def test_concurrency_is_limited(limits: CallerLimits) -> None:
    assert limits.admit("a", 0.0) is None
    assert limits.admit("a", 0.0) is None
    assert limits.admit("a", 0.0) is not None
    limits.finish("a")
    assert limits.admit("a", 0.0) is None


def test_full_caller_table_does_not_refill_buckets(
    limits: CallerLimits,
) -> None:
    assert [run(limits, "a", 0.0) for _ in range(3)] == [None] * 3
    assert run(limits, "b", 0.0) is None
    assert run(limits, "c", 0.0) is not None
    assert len(limits.callers) == 2
    assert run(limits, "c", 0.2) is None
    assert set(limits.callers) == {"a", "c"}
    assert run(limits, "a", 0.2) is None
    assert run(limits, "a", 0.2) is None
    assert run(limits, "a", 0.2) is not None


def test_class_without_rate_has_no_rate_limit() -> None:
    limits = CallerLimits(CallerClassSpec("default", burst=1))
    assert all(run(limits, "a", 0.0) is None for _ in range(100))
