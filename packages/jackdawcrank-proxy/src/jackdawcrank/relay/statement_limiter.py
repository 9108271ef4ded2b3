"""Concurrency limit for this proxy's statements on one server."""

import asyncio
import enum
from collections.abc import Callable

from jackdawcrank_policy.capacity import Contention
from jackdawcrank_policy.waiting import (
    CongestionWindow,
    OverloadDetector,
    WaitEstimator,
    WaitLimits,
)
from jackdawcrank_policy.waiting.fair_wait_queue import FairWaitQueue

# Open transactions hold locks and a connection, so their statements precede
# new work, whose priorities begin at 0.
TRANSACTION_PRIORITY = -1


class LimiterResult(enum.Enum):
    """Whether the limiter admitted a statement."""

    GRANTED = "granted"
    WAIT_LIMIT_EXCEEDED = "hopeless"
    """The wait limit passed, or would pass before there is room."""


class StatementLimiter:
    """Limits statements in flight by a congestion window.

    Waiting statements are admitted in order of priority, and within a priority
    fairly by account.

    Attributes:
      window: Maximum number of statements in flight.
      in_flight_count: Number of statements in flight.
      on_wait: Called with the expected and the actual wait of each statement
        that has waited, in seconds.
      queue: Statements that wait to be admitted.
      wait_estimator: Estimates queue waits from how long statements take.
      overload_detector: Sets the wait limit of new statements.
      contention: Counts the demand and refusals for the capacity holder.
    """

    def __init__(
        self,
        size: float,
        max_size: float,
        on_wait: Callable[[float, float], None],
    ) -> None:
        self.on_wait = on_wait
        self.window = CongestionWindow(size, max_size)
        self.in_flight_count = 0
        self.queue: FairWaitQueue[asyncio.Future[None]] = FairWaitQueue()
        self.wait_estimator = WaitEstimator()
        self.overload_detector = OverloadDetector()
        self.contention = Contention()
        self.loop = asyncio.get_running_loop()

    async def enter(
        self, limits: WaitLimits, account: str = ""
    ) -> LimiterResult:
        """Wait until a statement may be sent.

        Args:
          limits: Priority and wait limits of the statement, in seconds on the
            loop's clock.
          account: The client account of the statement; empty for none.
        """
        now = self.loop.time()
        deadline = self.overload_detector.wait_deadline(
            now, self.queue.length, limits
        )
        if self.has_room():
            self.in_flight_count += 1
            self.contention.entered(self.in_flight_count)
            return LimiterResult.GRANTED
        self.contention.waited(self.demand() + 1)
        ahead = self.queue.ahead_of(limits.priority, account)
        wait = self.wait_estimator.wait_seconds(ahead, int(self.window.size))
        if now + wait >= deadline:
            return LimiterResult.WAIT_LIMIT_EXCEEDED
        admitted: asyncio.Future[None] = self.loop.create_future()
        waiter = self.queue.enqueue(
            limits.priority, deadline, admitted, account
        )
        try:
            async with asyncio.timeout_at(deadline):
                await admitted
        except TimeoutError:
            if not admitted.done() or admitted.cancelled():
                return LimiterResult.WAIT_LIMIT_EXCEEDED
        except asyncio.CancelledError:
            if admitted.done() and not admitted.cancelled():
                self.in_flight_count -= 1
                self.admit_waiting()
            raise
        finally:
            self.queue.cancel(waiter)
            self.on_wait(wait, self.loop.time() - now)
        return LimiterResult.GRANTED

    def has_room(self) -> bool:
        """Return whether a statement would be admitted immediately."""
        return (
            self.window.admits(self.in_flight_count) and not self.queue.length
        )

    def demand(self) -> int:
        """Return the number of statements in flight and waiting."""
        return self.in_flight_count + self.queue.length

    def leave(self, seconds: float) -> None:
        """Record that a statement has ended and admit waiting ones.

        Args:
          seconds: How long the statement was in flight.
        """
        self.in_flight_count -= 1
        self.wait_estimator.record_hold(seconds)
        self.window.answered()
        self.admit_waiting()

    def refused(self) -> None:
        """Record that the server refused a statement because it was full."""
        self.contention.refused()
        self.window.refused(self.loop.time())

    def admit_waiting(self) -> None:
        """Admit waiting statements while the window has room."""
        while self.window.admits(self.in_flight_count):
            waiter = self.queue.pop(self.loop.time())
            if waiter is None:
                return
            if not waiter.item.done():
                self.in_flight_count += 1
                waiter.item.set_result(None)
