"""Stops asking a store that does not answer."""

import random

import attrs

FAILURE_THRESHOLD = 4
INITIAL_OPEN_SECONDS = 0.5
MAX_OPEN_SECONDS = 5.0


@attrs.define
class CircuitBreaker:
    """Opens after some failures in a row, for a random growing pause.

    After the pause one request at a time may try again.

    Attributes:
      rng: The source of the pauses' jitter.
      failures: Failures in a row.
      open_until: When the next try may be made.
      probe_in_flight: Whether the single try after a pause is under way.
    """

    rng: random.Random
    failures: int = 0
    open_until: float = 0.0
    probe_in_flight: bool = False

    def allow_request(self, now: float) -> bool:
        """Return whether a request may be sent, and count it as sent."""
        if self.failures < FAILURE_THRESHOLD:
            return True
        if now < self.open_until or self.probe_in_flight:
            return False
        self.probe_in_flight = True
        return True

    def record_success(self) -> None:
        """Record an answer."""
        self.failures, self.probe_in_flight = 0, False

    def record_failure(self, now: float) -> None:
        """Record that no usable answer came."""
        self.failures += 1
        self.probe_in_flight = False
        extra_failures = self.failures - FAILURE_THRESHOLD
        if extra_failures >= 0:
            ceiling = INITIAL_OPEN_SECONDS * 2 ** min(extra_failures, 10)
            pause = self.rng.uniform(0, min(ceiling, MAX_OPEN_SECONDS))
            self.open_until = now + pause

    def record_cancellation(self) -> None:
        """Record that a request was given up without a verdict."""
        self.probe_in_flight = False
