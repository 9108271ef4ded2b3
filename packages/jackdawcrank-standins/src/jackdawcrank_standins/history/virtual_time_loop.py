"""An event loop whose time jumps to the next thing that is due."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

STEP_SECONDS = 1e-9


class VirtualTimeSelector(selectors.SelectSelector):
    """Passes time at once instead of waiting.

    Each step of the loop takes `STEP_SECONDS`, so that a timer that is due
    by less than the clock's resolution is not set again for ever.

    Attributes:
      now: The time in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Pass the time-out; files are looked at only when nothing is planned.

        Args:
          timeout: How long to wait in seconds; None to wait for ever.

        Raises:
          RuntimeError: Nothing is ready and nothing is planned.
        """
        if timeout is not None:
            self.now += max(timeout, STEP_SECONDS)
            return []
        ready = super().select(0)
        if not ready:
            raise RuntimeError("the loop waits for something that never comes")
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers without waiting, for programs that wait on nothing else."""

    def __init__(self) -> None:
        self.virtual_selector = VirtualTimeSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Return the loop's time in seconds."""
        return self.virtual_selector.now


def run_virtual(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end on a loop of its own and return its result.

    Args:
      work: The coroutine.
    """
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()
