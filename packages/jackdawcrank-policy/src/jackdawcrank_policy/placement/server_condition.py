"""State of a server as observed through this proxy's statements."""

import math

import attrs

from jackdawcrank_policy.values.position import Position

# Weight of one answer in the moving average. If execution times deviate by 0.7
# of their mean, the average then deviates by about 0.15 of it.
ANSWER_WEIGHT = 0.1
# Time-outs are rare and significant: three of them move the average most of the
# way.
TIMEOUT_WEIGHT = 0.3
# Without answers, the excess of a server's average over its best time halves in
# this time, so a slow server is tried again within seconds.
DECAY_HALF_LIFE_SECONDS = 2.0
# First back-off of an unreachable or overloaded server; doubles each time.
INITIAL_BACKOFF_SECONDS = 0.1
# Longest back-off: one server out of three may remain unused for this long
# after its recovery.
MAX_BACKOFF_SECONDS = 1.0
# First back-off of a replica that lacked a position: about the usual lag of
# 60 ms.
INITIAL_LAG_BACKOFF_SECONDS = 0.06


@attrs.define
class ServerCondition:
    """Times, failures and lag of one server as observed by one proxy.

    Attributes:
      running: Number of this proxy's statements in progress on it.
      seconds: Moving average of a statement's time including the network; None
        before the first answer.
      best_seconds: Lowest value of that average.
      answered_at: When the last answer arrived, in seconds.
      failures: Consecutive failures.
      avoid_until: Until when other servers are preferred, in seconds.
      lag_failures: Consecutive reads whose position it lacked.
      lagging_until: Until when it is assumed to lag, in seconds.
      position: The highest log position that it has reported.
    """

    running: int = 0
    seconds: float | None = None
    best_seconds: float = math.inf
    answered_at: float = -math.inf
    failures: int = 0
    avoid_until: float = -math.inf
    lag_failures: int = 0
    lagging_until: float = -math.inf
    position: Position | None = None

    def answered(self, seconds: float, now: float) -> None:
        """Record an answer.

        Args:
          seconds: The time that the statement took.
          now: The current time in seconds.
        """
        self.failures = 0
        self.avoid_until = -math.inf
        expected = self.expected_seconds(now, seconds)
        self.seconds = expected + ANSWER_WEIGHT * (seconds - expected)
        self.best_seconds = min(self.best_seconds, self.seconds)
        self.answered_at = now

    def timed_out(self, seconds: float) -> None:
        """Record a statement that timed out.

        The server might have answered a longer wait. Raising the expected time
        makes the next wait longer, so that a slow server is not treated as
        unresponsive permanently.

        Args:
          seconds: How long the proxy waited.
        """
        known = seconds if self.seconds is None else self.seconds
        self.seconds = known + TIMEOUT_WEIGHT * max(0.0, seconds - known)
        self.best_seconds = min(self.best_seconds, self.seconds)

    def failed(self, now: float) -> None:
        """Record that the server was unreachable or overloaded.

        Args:
          now: The current time in seconds.
        """
        pause = INITIAL_BACKOFF_SECONDS * 2.0 ** min(self.failures, 8)
        self.failures += 1
        self.avoid_until = now + min(pause, MAX_BACKOFF_SECONDS)

    def lagged(self, now: float) -> None:
        """Record that the server lacked a required position.

        Args:
          now: The current time in seconds.
        """
        pause = INITIAL_LAG_BACKOFF_SECONDS * 2.0 ** min(self.lag_failures, 8)
        self.lag_failures += 1
        self.lagging_until = now + min(pause, MAX_BACKOFF_SECONDS)

    def caught_up(self) -> None:
        """Record that the server had a required position."""
        self.lag_failures = 0
        self.lagging_until = -math.inf

    def position_seen(self, position: Position | None) -> None:
        """Record the position in an answer.

        Args:
          position: The position; None if the answer had none.
        """
        if position and (self.position is None or position > self.position):
            self.position = position

    def expected_seconds(self, now: float, unknown: float) -> float:
        """Return the expected time of a statement, in seconds.

        Args:
          now: The current time in seconds.
          unknown: The value for a server that has not answered yet.
        """
        if self.seconds is None:
            return unknown
        age = max(0.0, now - self.answered_at)
        decay = math.pow(0.5, age / DECAY_HALF_LIFE_SECONDS)
        return self.best_seconds + (self.seconds - self.best_seconds) * decay
