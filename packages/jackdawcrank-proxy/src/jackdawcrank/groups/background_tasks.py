"""Tasks that run beside their starter."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from absl import logging


class BackgroundTasks:
    """Owns tasks and cancels those that are left when it closes."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()
        self.closed = False

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine beside the caller.

        Args:
          coroutine: The coroutine; what it raises is logged.
        """
        if self.closed:
            coroutine.close()
            return
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.handle_done)

    def handle_done(self, task: asyncio.Task[None]) -> None:
        """Forget a task that has ended."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error("background task failed", exc_info=task.exception())

    async def close(self) -> None:
        """Cancel the tasks that still run and wait for their end."""
        self.closed = True
        left = tuple(self.tasks)
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)
