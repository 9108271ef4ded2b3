"""Cancelling tasks that an owner closes."""

import asyncio
from collections.abc import Iterable
from typing import Any

# How long a cancelled task may take to end before it is cancelled again.
CANCEL_INTERVAL_SECONDS = 0.5


async def cancel_and_wait(tasks: "Iterable[asyncio.Future[Any]]") -> None:
    """Cancel tasks and wait until all of them have ended.

    A single cancellation is not enough: before Python 3.12,
    `asyncio.wait_for` discards one that arrives as its result does, and the
    task goes on. Results and errors of the tasks are discarded.

    Args:
      tasks: The tasks.
    """
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        done, pending = await asyncio.wait(
            pending, timeout=CANCEL_INTERVAL_SECONDS
        )
        for task in done:
            if not task.cancelled():
                # Retrieved, so that asyncio does not log it as unhandled.
                task.exception()
