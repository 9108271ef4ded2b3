"""Timer that runs callbacks on the event loop."""

import asyncio
import collections.abc
import random

from jackdawcrank.timer.run_callback import run_callback
from jackdawcrank.timer.subscription import Subscription, TickCallback
from jackdawcrank.timer.timer_queue import TimerQueue

Clock = collections.abc.Callable[[], float]


class TimerService:
    """Timer that runs callbacks as tasks on the event loop."""

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or asyncio.get_running_loop().time
        self.timer_queue = TimerQueue()
        self.calls: set[asyncio.Task[None]] = set()
        self.handle: asyncio.TimerHandle | None = None
        self.started = False

    def now(self) -> float:
        """Return the time in seconds on a monotonic clock."""
        return self.clock()

    def subscribe(
        self,
        name: str,
        interval_seconds: float,
        callback: TickCallback,
        jitter_fraction: float = 0.0,
        rng: random.Random | None = None,
    ) -> Subscription:
        """Call back at regular intervals, first after one interval.

        Args:
          name: The subscriber's name in logs.
          interval_seconds: The time between two calls; must be above 0.
          callback: The coroutine function to call with the current time.
          jitter_fraction: The largest change of each interval, as a fraction
            from 0 to 1.
          rng: The random generator for the jitter.

        Raises:
          ValueError: The interval is not above 0.
        """
        subscription = self.timer_queue.add_periodic(
            name, interval_seconds, callback, jitter_fraction, rng, self.now()
        )
        self.arm()
        return subscription

    def call_later(
        self, delay_seconds: float, callback: TickCallback
    ) -> Subscription:
        """Call back once.

        Args:
          delay_seconds: The time until the call, in seconds.
          callback: The coroutine function to call with the current time.
        """
        subscription = self.timer_queue.add_one_shot(
            delay_seconds, callback, self.now()
        )
        self.arm()
        return subscription

    async def start(self) -> None:
        """Start making calls."""
        self.started = True
        self.arm()

    async def close(self) -> None:
        """Stop making calls and cancel calls in progress."""
        self.started = False
        if self.handle:
            self.handle.cancel()
        for call in self.calls:
            call.cancel()
        await asyncio.gather(*self.calls, return_exceptions=True)

    def arm(self) -> None:
        """Set the event loop's timer to the due time of the next call."""
        if self.handle:
            self.handle.cancel()
            self.handle = None
        due_at = self.timer_queue.next_at()
        if not self.started or due_at is None:
            return
        delay = max(0.0, due_at - self.now())
        self.handle = asyncio.get_running_loop().call_later(
            delay, self.start_due_calls
        )

    def start_due_calls(self) -> None:
        """Start a task for every call that is due."""
        while subscription := self.timer_queue.pop_due(self.now()):
            call = asyncio.create_task(self.run(subscription))
            self.calls.add(call)
            call.add_done_callback(self.calls.discard)
        self.arm()

    async def run(self, subscription: Subscription) -> None:
        """Make one call and schedule the next.

        Args:
          subscription: The subscription that is due.
        """
        await run_callback(subscription, self.now())
        self.timer_queue.reschedule(subscription, self.now())
        self.arm()
