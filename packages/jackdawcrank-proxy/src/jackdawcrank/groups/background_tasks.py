"""Ownership of background tasks."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from absl import logging

from jackdawcrank.tasks import cancel_and_wait


class BackgroundTasks:
    """Owns background tasks and cancels the unfinished ones on close."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()
        self.closed = False

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a background task.

        After `close`, the coroutine is discarded without being run.

        Args:
          coroutine: The coroutine; an exception that it raises is logged.
        """
        if self.closed:
            coroutine.close()
            return
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.handle_done)

    def handle_done(self, task: asyncio.Task[None]) -> None:
        """Remove a finished task and log its exception, if any."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error("background task failed", exc_info=task.exception())

    async def close(self) -> None:
        """Cancel the running tasks and wait until they have ended."""
        self.closed = True
        await cancel_and_wait(self.tasks)
