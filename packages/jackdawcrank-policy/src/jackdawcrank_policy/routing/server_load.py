"""The load and health of a backend server as one proxy sees them."""

import math

import attrs

SERVICE_WEIGHT = 0.1
FIRST_SERVICE_SECONDS = 0.005
ERROR_HALF_LIFE_SECONDS = 5.0
# Errors, decayed by age, from which a server gets no reads.
FAILING_SCORE = 3.0


@attrs.define
class ServerLoad:
    """Running statements, time of service and recent errors of a server.

    Attributes:
      slots: Statements that the server runs at once for this proxy.
      latency: Seconds of a network round trip to the server.
      in_flight: Statements that this proxy has on the server.
      service_time: Seconds of one statement without the network, smoothed.
      error_score: Recent errors, halved every few seconds.
      score_updated_at: When the score was last brought up to date.
    """

    slots: int = 1
    latency: float = 0.0
    in_flight: int = 0
    service_time: float = FIRST_SERVICE_SECONDS
    error_score: float = 0.0
    score_updated_at: float = 0.0

    def start(self) -> None:
        """Count a statement that was sent."""
        self.in_flight += 1

    def finish(self, seconds: float, failed: bool, now: float) -> None:
        """Count a statement that ended.

        Args:
          seconds: How long it took, network included.
          failed: Whether the server or the way to it failed.
          now: The current time.
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
        """Return the score of recent errors at a time."""
        elapsed = now - self.score_updated_at
        return self.error_score * math.pow(
            0.5, elapsed / ERROR_HALF_LIFE_SECONDS
        )

    def failing(self, now: float) -> bool:
        """Return whether recent errors rule the server out."""
        return self.decayed_error_score(now) >= FAILING_SCORE

    def expected_response_time(self, now: float) -> float:
        """Return the seconds that one more statement should take."""
        queued = max(0, self.in_flight + 1 - self.slots)
        queue = self.service_time * queued / max(1, self.slots)
        return self.latency + (self.service_time + queue) * (
            1 + self.decayed_error_score(now)
        )
