"""Concurrency limit for this proxy's statements on one server."""

import asyncio
import enum
import functools
from collections.abc import Callable

from jackdawcrank.seams.server_connection import ServerConnection
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
    CONNECTION_LOST = "lost"
    """The connection of the statement was closed while it waited."""


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
        self.queue: FairWaitQueue[asyncio.Future[LimiterResult]] = (
            FairWaitQueue()
        )
        self.wait_estimator = WaitEstimator()
        self.overload_detector = OverloadDetector()
        self.loop = asyncio.get_running_loop()

    async def enter(
        self,
        limits: WaitLimits,
        account: str = "",
        connection: ServerConnection | None = None,
    ) -> LimiterResult:
        """Wait until a statement may be sent.

        Args:
          limits: Priority and wait limits of the statement, in seconds on the
            loop's clock.
          account: The client account of the statement; empty for none.
          connection: The statement's connection; the wait ends if it is lost.
        """
        now = self.loop.time()
        deadline = self.overload_detector.wait_deadline(
            now, self.queue.length, limits
        )
        if self.has_room():
            self.in_flight_count += 1
            return LimiterResult.GRANTED
        ahead = self.queue.ahead_of(limits.priority, account)
        wait = self.wait_estimator.wait_seconds(ahead, int(self.window.size))
        if now + wait >= deadline:
            return LimiterResult.WAIT_LIMIT_EXCEEDED
        admitted: asyncio.Future[LimiterResult] = self.loop.create_future()
        waiter = self.queue.enqueue(
            limits.priority, deadline, admitted, account
        )
        lost = functools.partial(end_wait, admitted)
        if connection is not None:
            connection.on_closed = lost
        try:
            async with asyncio.timeout_at(deadline):
                return await admitted
        except TimeoutError:
            if not admitted.done() or admitted.cancelled():
                return LimiterResult.WAIT_LIMIT_EXCEEDED
        except asyncio.CancelledError:
            if (
                admitted.done()
                and not admitted.cancelled()
                and admitted.result() is LimiterResult.GRANTED
            ):
                self.in_flight_count -= 1
                self.admit_waiting()
            raise
        finally:
            # It may be idle by now, after its transaction was rolled back.
            if connection is not None and connection.on_closed is lost:
                connection.on_closed = None
            self.queue.cancel(waiter)
            self.on_wait(wait, self.loop.time() - now)
        return admitted.result()

    def has_room(self) -> bool:
        """Return whether a statement would be admitted immediately."""
        return (
            self.window.admits(self.in_flight_count) and not self.queue.length
        )

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
        self.window.refused(self.loop.time())

    def admit_waiting(self) -> None:
        """Admit waiting statements while the window has room."""
        while self.window.admits(self.in_flight_count):
            waiter = self.queue.pop(self.loop.time())
            if waiter is None:
                return
            if not waiter.item.done():
                self.in_flight_count += 1
                waiter.item.set_result(LimiterResult.GRANTED)


def end_wait(admitted: asyncio.Future[LimiterResult]) -> None:
    """End the wait of a statement whose connection was lost.

    Args:
      admitted: Receives the result of the wait.
    """
    if not admitted.done():
        admitted.set_result(LimiterResult.CONNECTION_LOST)
