"""Failure detection for primaries, from missed deadlines to a judgement."""

from jackdawcrank_policy.detection.judge import (
    Judgement,
    judge,
)
from jackdawcrank_policy.detection.primary_detector import (
    MIN_MISSES,
    PROBE_INTERVAL_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    RETRY_PROBE_TIMEOUT_SECONDS,
    SLOW_ANSWER_SECONDS,
    SUSPECT_AFTER_SECONDS,
    PrimaryDetector,
)
from jackdawcrank_policy.detection.primary_evidence import (
    PrimaryEvidence,
    PrimaryHealth,
)
from jackdawcrank_policy.detection.promotion_backoff import PromotionBackoff

__all__ = [
    "MIN_MISSES",
    "PROBE_INTERVAL_SECONDS",
    "PROBE_TIMEOUT_SECONDS",
    "RETRY_PROBE_TIMEOUT_SECONDS",
    "SLOW_ANSWER_SECONDS",
    "SUSPECT_AFTER_SECONDS",
    "Judgement",
    "PrimaryDetector",
    "PrimaryEvidence",
    "PrimaryHealth",
    "PromotionBackoff",
    "judge",
]
