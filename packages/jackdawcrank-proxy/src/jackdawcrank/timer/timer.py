"""Interface of timers."""

import random
import typing

from jackdawcrank.timer.subscription import Subscription, TickCallback


class Timer(typing.Protocol):
    """Calls callbacks periodically or after a delay."""

    def now(self) -> float:
        """Return the time in seconds on a monotonic clock."""

    def subscribe(
        self,
        name: str,
        interval_seconds: float,
        callback: TickCallback,
        jitter_fraction: float = 0.0,
        rng: random.Random | None = None,
    ) -> Subscription:
        """Call back at regular intervals, first after one interval.

        A call that takes longer than the interval delays the next one; calls
        of one subscription never overlap. An exception is logged; it stops
        neither this subscription nor any other.

        Args:
          name: The subscriber's name in logs.
          interval_seconds: The time between two calls.
          callback: The coroutine function to call with the current time.
          jitter_fraction: The largest change of each interval, as a fraction
            from 0 to 1.
          rng: The random generator for the jitter.
        """

    def call_later(
        self, delay_seconds: float, callback: TickCallback
    ) -> Subscription:
        """Call back once.

        Args:
          delay_seconds: The time until the call, in seconds.
          callback: The coroutine function to call with the current time.
        """

    async def start(self) -> None:
        """Start making calls."""

    async def close(self) -> None:
        """Stop making calls and cancel calls in progress."""
