"""Periodic and one-shot timers for the components of the proxy."""

from jackdawcrank.timer.manual_timer import ManualTimer
from jackdawcrank.timer.subscription import Subscription, TickCallback
from jackdawcrank.timer.timer import Timer
from jackdawcrank.timer.timer_service import TimerService

__all__ = [
    "ManualTimer",
    "Subscription",
    "TickCallback",
    "Timer",
    "TimerService",
]
