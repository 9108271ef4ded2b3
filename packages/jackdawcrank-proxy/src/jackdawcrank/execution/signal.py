"""Wakes everybody who waits for a change."""

import asyncio


class Signal:
    """A change that can be awaited again and again.

    Attributes:
      event: The next change.
      waiting: How many wait for it.
    """

    def __init__(self) -> None:
        self.event = asyncio.Event()
        self.waiters = 0

    def notify(self) -> None:
        """Wake everybody who waits now."""
        if not self.waiters:
            return
        self.event.set()
        self.event = asyncio.Event()

    async def wait(self, timeout_seconds: float) -> bool:
        """Wait for the next change; return whether it came in time.

        Args:
          timeout_seconds: The longest that this may take.
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
