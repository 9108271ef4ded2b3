"""A callback that a timer calls again and again."""

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
      name: Names the subscriber in logs.
      interval_seconds: The time between two calls.
      callback: Called with the timer's time.
      jitter_fraction: How much of the interval each wait may be shortened or
        lengthened by, so that many VMs do not act at the same instant.
      rng: Where the jitter comes from.
      next_at: When the next call is due, on the timer's clock.
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
        """Set when the next call is due.

        Args:
          now: The timer's time.
        """
        jitter = self.rng.uniform(-1, 1) * self.jitter_fraction
        self.next_at = now + self.interval_seconds * (1 + jitter)

    def close(self) -> None:
        """Make no further call; one in progress goes on."""
        self.closed = True
