"""Queueing of statements for connections and send slots, by priority."""

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
    "CongestionWindow",
    "OverloadDetector",
    "PriorityWaitQueue",
    "WaitEntry",
    "WaitEstimator",
    "WaitLimits",
]
