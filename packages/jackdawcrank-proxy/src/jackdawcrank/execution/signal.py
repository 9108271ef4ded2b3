"""Notification of all tasks that wait for a change."""

import asyncio


class Signal:
    """A notification that can be awaited repeatedly.

    Attributes:
      event: Set at the next notification, then replaced.
      waiters: The number of tasks that wait for it.
    """

    def __init__(self) -> None:
        self.event = asyncio.Event()
        self.waiters = 0

    def notify(self) -> None:
        """Wake all tasks that are waiting."""
        if not self.waiters:
            return
        self.event.set()
        self.event = asyncio.Event()

    async def wait(self, timeout_seconds: float) -> bool:
        """Wait for the next notification.

        Args:
          timeout_seconds: The maximum time to wait in seconds.

        Returns:
          Whether the notification came before the timeout.
        """
        event = self.event
        self.waiters += 1
        try:
            async with asyncio.timeout(timeout_seconds):
                await event.wait()
        except TimeoutError:
            return False
        finally:
            self.waiters -= 1
        return True
