"""The load and health of a backend server as measured by one proxy."""

import math

import attrs

SERVICE_WEIGHT = 0.1
FIRST_SERVICE_SECONDS = 0.005
ERROR_HALF_LIFE_SECONDS = 5.0
# A server with at least this decayed error score receives no reads.
FAILING_SCORE = 3.0


@attrs.define
class ServerLoad:
    """Running statements, service time and recent errors of a server.

    Attributes:
      slots: How many statements the server runs concurrently for this proxy.
      latency: The network round-trip time to the server in seconds.
      in_flight: How many statements this proxy has in flight on the server.
      service_time: The exponentially smoothed seconds that one statement
        takes on the server, without the network.
      error_score: The number of errors, decayed exponentially with a
        half-life of ERROR_HALF_LIFE_SECONDS.
      score_updated_at: When `error_score` was last updated, in seconds of the
        monotonic clock.
    """

    slots: int = 1
    latency: float = 0.0
    in_flight: int = 0
    service_time: float = FIRST_SERVICE_SECONDS
    error_score: float = 0.0
    score_updated_at: float = 0.0

    def start(self) -> None:
        """Record that a statement was sent."""
        self.in_flight += 1

    def finish(self, seconds: float, failed: bool, now: float) -> None:
        """Record that a statement ended.

        A failed statement does not change the smoothed service time.

        Args:
          seconds: How long the statement took, including the network.
          failed: Whether the server or the connection to it failed.
          now: The current time in seconds of the monotonic clock.
        """
        self.in_flight -= 1
        self.error_score = self.decayed_error_score(now) + failed
        self.score_updated_at = now
        if not failed:
            service_time = max(0.0, seconds - self.latency)
            self.service_time += SERVICE_WEIGHT * (
                service_time - self.service_time
            )

    def decayed_error_score(self, now: float) -> float:
        """Return the error score decayed to a point in time."""
        elapsed = now - self.score_updated_at
        return self.error_score * math.pow(
            0.5, elapsed / ERROR_HALF_LIFE_SECONDS
        )

    def failing(self, now: float) -> bool:
        """Return whether recent errors exclude the server."""
        return self.decayed_error_score(now) >= FAILING_SCORE

    def expected_response_time(self, now: float) -> float:
        """Estimate the seconds until one more statement is answered."""
        queued = max(0, self.in_flight + 1 - self.slots)
        queue = self.service_time * queued / max(1, self.slots)
        return self.latency + (self.service_time + queue) * (
            1 + self.decayed_error_score(now)
        )
