"""Subscription of a callback to a timer."""

import collections.abc
import random

import attrs

TickCallback = collections.abc.Callable[
    [float], collections.abc.Awaitable[None]
]


@attrs.define(eq=False)
class Subscription:
    """One subscription to a timer.

    Attributes:
      name: The subscriber's name in logs.
      interval_seconds: The time between two calls; 0 for a single call.
      callback: The coroutine function to call with the current time.
      jitter_fraction: The largest change of each interval, as a fraction of
        it. Jitter keeps many VMs from acting at the same time.
      rng: The random generator for the jitter.
      next_at: The due time of the next call, on the timer's clock.
      running: Whether a call is in progress.
      closed: Whether no further call will be made.
    """

    name: str
    interval_seconds: float
    callback: TickCallback
    jitter_fraction: float
    rng: random.Random
    next_at: float = 0.0
    running: bool = False
    closed: bool = False

    def schedule(self, now: float) -> None:
        """Set the due time of the next call.

        Args:
          now: The current time on the timer's clock, in seconds.
        """
        jitter = self.rng.uniform(-1, 1) * self.jitter_fraction
        self.next_at = now + self.interval_seconds * (1 + jitter)

    def close(self) -> None:
        """Stop further calls; a call in progress continues."""
        self.closed = True
