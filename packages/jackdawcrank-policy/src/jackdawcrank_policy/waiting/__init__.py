"""Waiting for a scarce thing, by priority."""

from jackdawcrank_policy.waiting.congestion_window import CongestionWindow
from jackdawcrank_policy.waiting.overload_detector import (
    OVERLOAD_WAIT_SHARE,
    OverloadDetector,
    WaitLimits,
)
from jackdawcrank_policy.waiting.priority_wait_queue import (
    PriorityWaitQueue,
    WaitEntry,
)
from jackdawcrank_policy.waiting.wait_estimator import WaitEstimator

__all__ = [
    "OVERLOAD_WAIT_SHARE",
    "OverloadDetector",
    "WaitEntry",
    "WaitEstimator",
    "WaitLimits",
    "PriorityWaitQueue",
    "CongestionWindow",
]
