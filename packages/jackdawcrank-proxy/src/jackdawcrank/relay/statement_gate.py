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


class Entry(enum.Enum):
    """Whether a statement may be sent."""

    GRANTED = "granted"
    HOPELESS = "hopeless"
    """Its turn did not come in time, or cannot."""


class StatementGate:
    """Lets statements pass as the server can take them, the urgent first.

    Attributes:
      window: How many may be under way.
      under_way: How many are.
      line: Who waits.
      turn: How long statements take.
      patience: How long newcomers should wait.
    """

    def __init__(self, size: float, most: float) -> None:
        self.window = CongestionWindow(size, most)
        self.under_way = 0
        self.line: PriorityWaitQueue[asyncio.Future[None]] = PriorityWaitQueue()
        self.turn = WaitEstimator()
        self.patience = OverloadDetector()
        self.loop = asyncio.get_running_loop()

    async def enter(self, limits: WaitLimits) -> Entry:
        """Wait until a statement may be sent.

        Args:
          limits: How it may wait, by the loop's clock.
        """
        now = self.loop.time()
        deadline = self.patience.wait_deadline(now, self.line.length, limits)
        if self.has_room():
            self.under_way += 1
            return Entry.GRANTED
        ahead = self.line.ahead_of(limits.priority)
        wait = self.turn.wait_seconds(ahead, int(self.window.size))
        if now + wait >= deadline:
            return Entry.HOPELESS
        passed: asyncio.Future[None] = self.loop.create_future()
        place = self.line.enqueue(limits.priority, deadline, passed)
        try:
            async with asyncio.timeout_at(deadline):
                await passed
        except TimeoutError:
            if not passed.done() or passed.cancelled():
                return Entry.HOPELESS
        finally:
            self.line.cancel(place)
        return Entry.GRANTED

    def has_room(self) -> bool:
        """Return whether a statement would pass without waiting."""
        return self.window.admits(self.under_way) and not self.line.length

    def leave(self, seconds: float) -> None:
        """Take in that a statement is under way no more.

        Args:
          seconds: How long it was.
        """
        self.under_way -= 1
        self.turn.record_hold(seconds)
        self.window.answered()
        self.let_pass()

    def refused(self) -> None:
        """Take in that the server was full."""
        self.window.refused(self.loop.time())

    def let_pass(self) -> None:
        """Let those pass that may be sent now."""
        while self.window.admits(self.under_way):
            place = self.line.pop(self.loop.time())
            if place is None:
                return
            if not place.item.done():
                self.under_way += 1
                place.item.set_result(None)
