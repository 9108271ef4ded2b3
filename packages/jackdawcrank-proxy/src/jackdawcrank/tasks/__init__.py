"""Cancellation of asyncio tasks."""

from jackdawcrank.tasks.cancel_and_wait import cancel_and_wait

__all__ = ["cancel_and_wait"]
