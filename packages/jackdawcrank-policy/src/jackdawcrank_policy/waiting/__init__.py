"""Waiting for a scarce thing, by priority."""

from jackdawcrank_policy.waiting.patience import (
    STANDING_SHARE,
    Patience,
    WaitLimits,
)
from jackdawcrank_policy.waiting.turn import Turn
from jackdawcrank_policy.waiting.waiting_line import Place, WaitingLine
from jackdawcrank_policy.waiting.window import Window

__all__ = [
    "STANDING_SHARE",
    "Patience",
    "Place",
    "Turn",
    "WaitLimits",
    "WaitingLine",
    "Window",
]
