"""Stops asking a store that does not answer."""

import random

import attrs

FAILURES_TO_OPEN = 4
FIRST_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 5.0


@attrs.define
class CircuitBreaker:
    """Opens after some failures in a row, for a random growing pause.

    After the pause one request at a time may try again.

    Attributes:
      rng: The source of the pauses' jitter.
      failures: Failures in a row.
      open_until: When the next try may be made.
      trying: Whether the single try after a pause is under way.
    """

    rng: random.Random
    failures: int = 0
    open_until: float = 0.0
    trying: bool = False

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent, and count it as sent."""
        if self.failures < FAILURES_TO_OPEN:
            return True
        if now < self.open_until or self.trying:
            return False
        self.trying = True
        return True

    def succeeded(self) -> None:
        """Record an answer."""
        self.failures, self.trying = 0, False

    def failed(self, now: float) -> None:
        """Record that no usable answer came."""
        self.failures += 1
        self.trying = False
        rounds = self.failures - FAILURES_TO_OPEN
        if rounds >= 0:
            ceiling = FIRST_PAUSE_SECONDS * 2 ** min(rounds, 10)
            pause = self.rng.uniform(0, min(ceiling, MAX_PAUSE_SECONDS))
            self.open_until = now + pause

    def abandoned(self) -> None:
        """Record that a request was given up without a verdict."""
        self.trying = False
