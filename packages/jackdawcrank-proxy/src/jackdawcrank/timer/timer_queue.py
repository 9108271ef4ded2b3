"""Priority queue of timer subscriptions."""

import heapq
import itertools
import random

from jackdawcrank.timer.subscription import Subscription, TickCallback


class TimerQueue:
    """The subscriptions of a timer, ordered by due time."""

    def __init__(self) -> None:
        self.entries: list[tuple[float, int, Subscription]] = []
        self.counter = itertools.count()

    def add_periodic(
        self,
        name: str,
        interval_seconds: float,
        callback: TickCallback,
        jitter_fraction: float,
        rng: random.Random | None,
        now: float,
    ) -> Subscription:
        """Add a periodic subscription, first due after one interval.

        Args:
          name: The subscriber's name in logs.
          interval_seconds: The time between two calls; must be above 0.
          callback: The coroutine function to call with the current time.
          jitter_fraction: The largest change of each interval, as a fraction
            from 0 to 1.
          rng: The random generator for the jitter.
          now: The current time on the timer's clock, in seconds.

        Raises:
          ValueError: The interval is not above 0.
        """
        if interval_seconds <= 0:
            raise ValueError(f"{name}: the interval must be above 0")
        subscription = Subscription(
            name,
            interval_seconds,
            callback,
            jitter_fraction,
            rng or random.Random(),
        )
        subscription.schedule(now)
        self.push(subscription)
        return subscription

    def add_one_shot(
        self, delay_seconds: float, callback: TickCallback, now: float
    ) -> Subscription:
        """Add a subscription that is called once.

        Args:
          delay_seconds: The time until the call, in seconds.
          callback: The coroutine function to call with the current time.
          now: The current time on the timer's clock, in seconds.
        """
        name = getattr(callback, "__qualname__", repr(callback))
        subscription = Subscription(name, 0, callback, 0, random.Random(0))
        subscription.next_at = now + max(0.0, delay_seconds)
        self.push(subscription)
        return subscription

    def push(self, subscription: Subscription) -> None:
        """Insert a subscription by its due time.

        Args:
          subscription: The subscription.
        """
        entry = (subscription.next_at, next(self.counter), subscription)
        heapq.heappush(self.entries, entry)

    def next_at(self) -> float | None:
        """Return the due time of the next call, or None if there is none."""
        while self.entries and self.entries[0][2].closed:
            heapq.heappop(self.entries)
        return self.entries[0][0] if self.entries else None

    def pop_due(self, now: float) -> Subscription | None:
        """Remove and return the earliest subscription that is due, if any.

        Args:
          now: The current time on the timer's clock, in seconds.
        """
        due_at = self.next_at()
        if due_at is None or due_at > now:
            return None
        return heapq.heappop(self.entries)[2]

    def reschedule(self, subscription: Subscription, now: float) -> None:
        """Insert a periodic subscription again after a call; close others.

        Args:
          subscription: The subscription that was called.
          now: The time after the call on the timer's clock, in seconds.
        """
        if subscription.closed:
            return
        if subscription.interval_seconds == 0:
            subscription.close()
            return
        subscription.schedule(max(now, subscription.next_at))
        self.push(subscription)
