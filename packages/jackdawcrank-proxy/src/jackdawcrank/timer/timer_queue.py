"""What a timer has to call, in order of time."""

import heapq
import itertools
import random

from jackdawcrank.timer.subscription import Subscription, TickCallback


class TimerQueue:
    """The subscriptions of a timer, ordered by when they are due."""

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
        """Add a subscription whose first call is one interval away.

        Args:
          name: Names the subscriber in logs.
          interval_seconds: The time between two calls, above 0.
          callback: Called with the timer's time.
          jitter_fraction: How much each wait may vary, from 0 to 1.
          rng: Where the jitter comes from.
          now: The timer's time.

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
        """Add a single call.

        Args:
          delay_seconds: The time until the call.
          callback: Called with the timer's time.
          now: The timer's time.
        """
        name = getattr(callback, "__qualname__", repr(callback))
        subscription = Subscription(name, 0, callback, 0, random.Random(0))
        subscription.next_at = now + max(0.0, delay_seconds)
        self.push(subscription)
        return subscription

    def push(self, subscription: Subscription) -> None:
        """Insert a subscription by when it is due.

        Args:
          subscription: The subscription.
        """
        entry = (subscription.next_at, next(self.counter), subscription)
        heapq.heappush(self.entries, entry)

    def next_at(self) -> float | None:
        """Return when the next call is due; None if nothing is waiting."""
        while self.entries and self.entries[0][2].closed:
            heapq.heappop(self.entries)
        return self.entries[0][0] if self.entries else None

    def pop_due(self, now: float) -> Subscription | None:
        """Remove and return the earliest subscription that is due, if any.

        Args:
          now: The timer's time.
        """
        due_at = self.next_at()
        if due_at is None or due_at > now:
            return None
        return heapq.heappop(self.entries)[2]

    def reschedule(self, subscription: Subscription, now: float) -> None:
        """Insert a subscription again after a call, if it repeats.

        Args:
          subscription: The subscription that was called.
          now: The timer's time after the call.
        """
        if subscription.closed:
            return
        if subscription.interval_seconds == 0:
            subscription.close()
            return
        subscription.schedule(max(now, subscription.next_at))
        self.push(subscription)
