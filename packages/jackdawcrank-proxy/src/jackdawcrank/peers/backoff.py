"""Exponential backoff between connection attempts to a peer."""

import random

import attrs

INITIAL_DELAY_SECONDS = 0.1
MAX_DELAY_SECONDS = 3.0


@attrs.define
class Backoff:
    """Doubles the delay after each failure, with jitter.

    Attributes:
      rng: The source of the jitter.
      failures: The number of failures since the last success.
      next_attempt_at: The earliest time of the next attempt, in seconds on a
        monotonic clock.
    """

    rng: random.Random
    failures: int = 0
    next_attempt_at: float = 0.0

    def allows(self, now: float) -> bool:
        """Return whether an attempt is allowed.

        Args:
          now: Seconds on a monotonic clock.
        """
        return now >= self.next_attempt_at

    def record_failure(self, now: float) -> None:
        """Record a failed attempt.

        Args:
          now: Seconds on a monotonic clock.
        """
        exponent = min(self.failures, 10)
        delay = min(MAX_DELAY_SECONDS, INITIAL_DELAY_SECONDS * 2**exponent)
        self.failures += 1
        self.next_attempt_at = now + delay * self.rng.uniform(0.5, 1.0)

    def record_success(self) -> None:
        """Record a successful attempt and reset the delay."""
        self.failures = 0
        self.next_attempt_at = 0.0
