"""Tests of request record expiry and request id validation."""

from jackdawcrank_policy.requests import (
    REQUEST_RECORD_SECONDS,
    expired_before,
    is_request_id,
)

NOW = 100 * REQUEST_RECORD_SECONDS


def test_records_are_kept_for_the_retention_period() -> None:
    assert expired_before(NOW - REQUEST_RECORD_SECONDS, NOW) is None
    assert expired_before(None, NOW) is None


def test_expired_records_are_deleted_in_batches() -> None:
    oldest = NOW - 2 * REQUEST_RECORD_SECONDS
    bound = expired_before(oldest, NOW)
    assert bound is not None
    assert oldest < bound <= oldest + 3600


def test_request_ids_are_validated() -> None:
    assert is_request_id("release-2026:0042")
    assert not is_request_id("")
    assert not is_request_id("x" * 65)
    assert not is_request_id("a'b")
