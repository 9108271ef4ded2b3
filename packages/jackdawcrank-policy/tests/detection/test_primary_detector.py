"""Tests of failure detection by missed deadlines."""

import pytest

from jackdawcrank_policy.detection import (
    PROBE_TIMEOUT_SECONDS,
    SUSPECT_AFTER_SECONDS,
    PrimaryDetector,
    PrimaryHealth,
)


@pytest.fixture
def detector() -> PrimaryDetector:
    detector = PrimaryDetector()
    detector.reset(0.0)
    detector.answered(10.0, 10.02)
    return detector


def miss(detector: PrimaryDetector, count: int, start: float = 10.25) -> float:
    now = start
    for _ in range(count):
        detector.missed(now, now + PROBE_TIMEOUT_SECONDS)
        now += PROBE_TIMEOUT_SECONDS
    return now


def test_silence_with_misses_raises_suspicion(
    detector: PrimaryDetector,
) -> None:
    now = miss(detector, 3)
    detector.other_answered(now - 0.2)
    assert detector.health(now) is PrimaryHealth.SUSPECT


def test_silence_without_misses_is_not_suspicious(
    detector: PrimaryDetector,
) -> None:
    detector.other_answered(10.0)
    assert detector.health(40.0) is PrimaryHealth.HEALTHY
    detector.missed(39.9, 40.0)
    assert detector.health(40.0) is PrimaryHealth.SLOW


def test_misses_within_short_silence_count_as_slow(
    detector: PrimaryDetector,
) -> None:
    for sent_at in (10.25, 10.3, 10.35, 10.4):
        detector.missed(sent_at, sent_at + 0.05)
    detector.other_answered(10.4)
    assert detector.health(10.45) is PrimaryHealth.SLOW
    assert detector.health(10.0 + SUSPECT_AFTER_SECONDS) is (
        PrimaryHealth.SUSPECT
    )


def test_answer_clears_suspicion(detector: PrimaryDetector) -> None:
    now = miss(detector, 4)
    detector.answered(now, now + 0.02)
    assert detector.health(now + 0.02) is not PrimaryHealth.SUSPECT
    assert detector.misses == 0


def test_late_answers_count_as_slow(detector: PrimaryDetector) -> None:
    for number in range(8):
        detector.answered(11.0 + number, 11.28 + number)
    assert detector.health(19.0) is PrimaryHealth.SLOW


def test_refusals_raise_suspicion_sooner(detector: PrimaryDetector) -> None:
    detector.other_answered(10.4)
    detector.refused(10.25)
    detector.refused(10.5)
    assert detector.health(10.52) is PrimaryHealth.REFUSING


def test_proxy_without_any_answers_is_cut_off(
    detector: PrimaryDetector,
) -> None:
    now = miss(detector, 10)
    assert detector.health(now) is PrimaryHealth.CUT_OFF


def test_single_recent_miss_corroborates_suspicion(
    detector: PrimaryDetector,
) -> None:
    now = miss(detector, 1)
    detector.other_answered(10.3)
    assert detector.health(now) is PrimaryHealth.SLOW
    assert detector.corroborating_health(now) is PrimaryHealth.SUSPECT


def test_miss_sent_before_newest_answer_is_ignored(
    detector: PrimaryDetector,
) -> None:
    detector.answered(12.0, 12.02)
    detector.missed(11.8, 12.1)
    assert detector.misses == 0
