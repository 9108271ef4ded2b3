"""The interface of a timer."""

import random
import typing

from jackdawcrank.timer.subscription import Subscription, TickCallback


class Timer(typing.Protocol):
    """Calls parts of the proxy when time has passed."""

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
        """Call back at regular intervals, for the first time after one.

        A call that takes longer than the interval delays the next one; calls
        of one subscription never overlap. An exception is logged and stops
        neither this subscription nor another one.

        Args:
          name: Names the subscriber in logs.
          interval_seconds: The time between two calls.
          callback: Called with the timer's time.
          jitter_fraction: How much each wait may vary, from 0 to 1.
          rng: Where the jitter comes from.
        """

    def call_later(
        self, delay_seconds: float, callback: TickCallback
    ) -> Subscription:
        """Call back once.

        Args:
          delay_seconds: The time until the call.
          callback: Called with the timer's time.
        """

    async def start(self) -> None:
        """Begin to call back."""

    async def close(self) -> None:
        """Stop calling back and cancel calls in progress."""
