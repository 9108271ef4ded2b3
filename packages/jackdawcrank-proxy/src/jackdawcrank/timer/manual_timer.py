"""A timer whose time a test moves."""

import random

from jackdawcrank.timer.run_callback import run_callback
from jackdawcrank.timer.subscription import Subscription, TickCallback
from jackdawcrank.timer.timer_queue import TimerQueue


class ManualTimer:
    """Calls back when `advance` is called; nothing happens by itself."""

    def __init__(self, now: float = 0.0) -> None:
        self.time = now
        self.timer_queue = TimerQueue()

    def now(self) -> float:
        """Return the time in seconds that the test has reached."""
        return self.time

    def subscribe(
        self,
        name: str,
        interval_seconds: float,
        callback: TickCallback,
        jitter_fraction: float = 0.0,
        rng: random.Random | None = None,
    ) -> Subscription:
        """Call back at regular intervals, for the first time after one.

        Args:
          name: Names the subscriber in logs.
          interval_seconds: The time between two calls, above 0.
          callback: Called with the timer's time.
          jitter_fraction: How much each wait may vary, from 0 to 1.
          rng: Where the jitter comes from; seeded by the name if left out.

        Raises:
          ValueError: The interval is not above 0.
        """
        return self.timer_queue.add_periodic(
            name,
            interval_seconds,
            callback,
            jitter_fraction,
            rng or random.Random(name),
            self.now(),
        )

    def call_later(
        self, delay_seconds: float, callback: TickCallback
    ) -> Subscription:
        """Call back once.

        Args:
          delay_seconds: The time until the call.
          callback: Called with the timer's time.
        """
        return self.timer_queue.add_one_shot(
            delay_seconds, callback, self.now()
        )

    async def start(self) -> None:
        """Do nothing; `advance` calls back."""

    async def close(self) -> None:
        """Forget every subscription."""
        self.timer_queue = TimerQueue()

    async def advance(self, seconds: float) -> None:
        """Move the time on and make the calls that fall due, one by one.

        Args:
          seconds: How far to move the time.
        """
        end = self.time + seconds
        while subscription := self.timer_queue.pop_due(end):
            self.time = max(self.time, subscription.next_at)
            await run_callback(subscription, self.time)
            self.timer_queue.reschedule(subscription, self.time)
        self.time = end
