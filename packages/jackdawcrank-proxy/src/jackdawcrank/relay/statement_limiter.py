"""The statements of this proxy under way at one server."""

import asyncio
import enum

from jackdawcrank_policy.waiting import (
    CongestionWindow,
    OverloadDetector,
    PriorityWaitQueue,
    WaitEstimator,
    WaitLimits,
)

# Transactions under way hold locks and a connection: their statements go
# before any new work, whose priorities begin at 0.
TRANSACTION_PRIORITY = -1


class LimiterResult(enum.Enum):
    """Whether a statement may be sent."""

    GRANTED = "granted"
    WAIT_LIMIT_EXCEEDED = "hopeless"
    """Its turn did not come in time, or cannot."""


class StatementLimiter:
    """Lets statements pass as the server can take them, the urgent first.

    Attributes:
      window: How many may be under way.
      under_way: How many are.
      line: Who waits.
      turn: How long statements take.
      patience: How long newcomers should wait.
    """

    def __init__(self, size: float, max_size: float) -> None:
        self.window = CongestionWindow(size, max_size)
        self.in_flight_count = 0
        self.queue: PriorityWaitQueue[asyncio.Future[None]] = (
            PriorityWaitQueue()
        )
        self.wait_estimator = WaitEstimator()
        self.overload_detector = OverloadDetector()
        self.loop = asyncio.get_running_loop()

    async def enter(self, limits: WaitLimits) -> LimiterResult:
        """Wait until a statement may be sent.

        Args:
          limits: How it may wait, by the loop's clock.
        """
        now = self.loop.time()
        deadline = self.overload_detector.wait_deadline(
            now, self.queue.length, limits
        )
        if self.has_room():
            self.in_flight_count += 1
            return LimiterResult.GRANTED
        ahead = self.queue.ahead_of(limits.priority)
        wait = self.wait_estimator.wait_seconds(ahead, int(self.window.size))
        if now + wait >= deadline:
            return LimiterResult.WAIT_LIMIT_EXCEEDED
        admitted: asyncio.Future[None] = self.loop.create_future()
        waiter = self.queue.enqueue(limits.priority, deadline, admitted)
        try:
            async with asyncio.timeout_at(deadline):
                await admitted
        except TimeoutError:
            if not admitted.done() or admitted.cancelled():
                return LimiterResult.WAIT_LIMIT_EXCEEDED
        finally:
            self.queue.cancel(waiter)
        return LimiterResult.GRANTED

    def has_room(self) -> bool:
        """Return whether a statement would pass without waiting."""
        return (
            self.window.admits(self.in_flight_count) and not self.queue.length
        )

    def leave(self, seconds: float) -> None:
        """Take in that a statement is under way no more.

        Args:
          seconds: How long it was.
        """
        self.in_flight_count -= 1
        self.wait_estimator.record_hold(seconds)
        self.window.answered()
        self.admit_waiting()

    def refused(self) -> None:
        """Take in that the server was full."""
        self.window.refused(self.loop.time())

    def admit_waiting(self) -> None:
        """Let those pass that may be sent now."""
        while self.window.admits(self.in_flight_count):
            waiter = self.queue.pop(self.loop.time())
            if waiter is None:
                return
            if not waiter.item.done():
                self.in_flight_count += 1
                waiter.item.set_result(None)
