"""An event loop whose clock advances to the next timer without waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

STEP_SECONDS = 1e-9


class VirtualTimeSelector(selectors.SelectSelector):
    """Advances a virtual clock instead of waiting.

    If anything is scheduled, each iteration of the loop advances the clock by
    at least `STEP_SECONDS`. Without this step, a timer that is due within less
    than the resolution of the clock would be rescheduled forever.

    Attributes:
      now: The virtual time in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by the timeout.

        Files are polled only if no callback or timer is scheduled.

        Args:
          timeout: The time to advance in seconds; None if no callback or
            timer is scheduled.

        Raises:
          RuntimeError: No file is ready and nothing is scheduled, so that the
            loop would block forever.
        """
        if timeout is not None:
            self.now += max(timeout, STEP_SECONDS)
            return []
        ready = super().select(0)
        if not ready:
            raise RuntimeError("deadlock: no timer scheduled and no file ready")
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers without waiting, for programs that wait only for timers."""

    def __init__(self) -> None:
        self.virtual_selector = VirtualTimeSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.virtual_selector.now


def run_virtual(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on a new virtual-time loop and return its result.

    Args:
      work: The coroutine to run until it completes.

    Raises:
      RuntimeError: The coroutine waits although no timer is scheduled.
    """
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()
