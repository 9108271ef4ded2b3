"""An event loop whose clock does not advance while callbacks run."""

import asyncio
import selectors
import time


class IdleTimeSelector(selectors.DefaultSelector):
    """Counts the time for which the loop waits for timers or files.

    Attributes:
      now: The counted time in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for files, and count the wait.

        At most the timeout is counted, so that the clock does not advance
        while the process waits for a processor.

        Args:
          timeout: The longest wait in seconds; None if there is no timer.
        """
        ready = super().select(0)
        if ready or (timeout is not None and timeout <= 0):
            return ready
        started_at = time.monotonic()
        ready = super().select(timeout)
        waited = time.monotonic() - started_at
        self.now += waited if timeout is None else min(waited, timeout)
        return ready


class IdleTimeLoop(asyncio.SelectorEventLoop):
    """Runs many processes of a test on one core without delaying each other.

    Each process would have a core of its own, so the time that the others
    take on the loop must not count against its time limits. Sockets work as
    usual.
    """

    def __init__(self) -> None:
        self.idle_selector = IdleTimeSelector()
        super().__init__(self.idle_selector)

    def time(self) -> float:
        """Return the time in seconds for which the loop was idle."""
        return self.idle_selector.now
