"""Timer with a clock that tests advance."""

import random

from jackdawcrank.timer.run_callback import run_callback
from jackdawcrank.timer.subscription import Subscription, TickCallback
from jackdawcrank.timer.timer_queue import TimerQueue


class ManualTimer:
    """Timer that makes calls only while `advance` runs."""

    def __init__(self, now: float = 0.0) -> None:
        self.time = now
        self.timer_queue = TimerQueue()

    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self.time

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
          rng: The random generator for the jitter; by default one seeded with
            the name.

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
          delay_seconds: The time until the call, in seconds.
          callback: The coroutine function to call with the current time.
        """
        return self.timer_queue.add_one_shot(
            delay_seconds, callback, self.now()
        )

    async def start(self) -> None:
        """Do nothing; `advance` makes the calls."""

    async def close(self) -> None:
        """Remove every subscription."""
        self.timer_queue = TimerQueue()

    async def advance(self, seconds: float) -> None:
        """Advance the time and make the calls that are due, one at a time.

        Args:
          seconds: The time to advance by, in seconds.
        """
        end = self.time + seconds
        while subscription := self.timer_queue.pop_due(end):
            self.time = max(self.time, subscription.next_at)
            await run_callback(subscription, self.time)
            self.timer_queue.reschedule(subscription, self.time)
        self.time = end
