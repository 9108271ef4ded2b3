"""Tests of the token bucket."""

from jackdawcrank.store.token_bucket import TokenBucket


def test_burst_does_not_wait() -> None:
    bucket = TokenBucket(per_second=10, burst=3)
    assert [bucket.take(0.0, 1.0) for _ in range(3)] == [0.0, 0.0, 0.0]


def test_requests_beyond_the_burst_wait_in_turn() -> None:
    bucket = TokenBucket(per_second=10, burst=1)
    waits = [bucket.take(0.0, 1.0) for _ in range(3)]
    assert waits == [0.0, 0.1, 0.2]


def test_refused_wait_takes_no_token() -> None:
    bucket = TokenBucket(per_second=10, burst=1)
    bucket.take(0.0, 1.0)
    assert bucket.take(0.0, 0.05) is None
    assert bucket.take(0.0, 0.15) == 0.1


def test_long_run_rate_is_bounded() -> None:
    bucket = TokenBucket(per_second=10, burst=5)
    passed = 0
    for step in range(1000):
        passed += bucket.take(step / 100, 0.0) is not None
    assert 100 <= passed <= 105
