"""Waiting for events."""

import asyncio
import contextlib


async def await_event(event: asyncio.Event, timeout_seconds: float) -> None:
    """Wait for an event, at most for a time.

    Args:
      event: The event.
      timeout_seconds: The longest wait, in seconds.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_seconds):
            await event.wait()
