"""Waiting for a scarce thing, by priority."""

from jackdawcrank_policy.waiting.turn import Turn
from jackdawcrank_policy.waiting.waiting_line import Place, WaitingLine
from jackdawcrank_policy.waiting.window import Window

__all__ = ["Place", "Turn", "WaitingLine", "Window"]
