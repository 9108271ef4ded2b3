"""Waiting for a scarce thing, by priority."""

from jackdawcrank_policy.waiting.waiting_line import Place, WaitingLine

__all__ = ["Place", "WaitingLine"]
