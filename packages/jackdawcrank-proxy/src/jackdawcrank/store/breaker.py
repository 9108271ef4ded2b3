"""Circuit breaker for requests to the store."""

import random

import attrs

FAILURE_THRESHOLD = 4
INITIAL_OPEN_SECONDS = 0.5
MAX_OPEN_SECONDS = 5.0


@attrs.define
class CircuitBreaker:
    """Opens after `FAILURE_THRESHOLD` consecutive failures.

    It stays open for a random time whose upper bound doubles with each
    further failure, up to `MAX_OPEN_SECONDS`. After that, one probe at a
    time is allowed.

    Attributes:
      rng: The random source of the jitter.
      failures: The number of consecutive failures.
      open_until: The earliest time of the next probe, in monotonic seconds.
      probe_in_flight: Whether a probe has been sent and has no outcome yet.
    """

    rng: random.Random
    failures: int = 0
    open_until: float = 0.0
    probe_in_flight: bool = False

    def allow_request(self, now: float) -> bool:
        """Return whether a request may be sent; a probe counts as sent."""
        if self.failures < FAILURE_THRESHOLD:
            return True
        if now < self.open_until or self.probe_in_flight:
            return False
        self.probe_in_flight = True
        return True

    def record_success(self) -> None:
        """Record a usable response and close the breaker."""
        self.failures, self.probe_in_flight = 0, False

    def record_failure(self, now: float) -> None:
        """Record a request without a usable response."""
        self.failures += 1
        self.probe_in_flight = False
        extra_failures = self.failures - FAILURE_THRESHOLD
        if extra_failures >= 0:
            ceiling = INITIAL_OPEN_SECONDS * 2 ** min(extra_failures, 10)
            pause = self.rng.uniform(0, min(ceiling, MAX_OPEN_SECONDS))
            self.open_until = now + pause

    def record_cancellation(self) -> None:
        """Record a request that was cancelled before its outcome."""
        self.probe_in_flight = False
