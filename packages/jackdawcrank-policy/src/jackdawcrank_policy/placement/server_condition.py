"""What this proxy knows of a server from its own statements."""

import math

import attrs

from jackdawcrank_policy.values.position import Position

# The weight of one answer: with work that varies by 0.7 of its mean, the
# smoothed time then varies by about 0.15 of it.
ANSWER_WEIGHT = 0.1
# Answers given up are rare and tell much: three of them move the smoothed time
# most of the way.
TIMEOUT_WEIGHT = 0.3
# After this long without answers half of a server's excess is forgotten, so a
# server that was slow is tried again within seconds.
DECAY_HALF_LIFE_SECONDS = 2.0
# The first pause after an unreachable or overloaded server, doubled each time.
INITIAL_BACKOFF_SECONDS = 0.1
# One server out of three may be missed for this long after it is back.
MAX_BACKOFF_SECONDS = 1.0
# The first pause after a replica lacked a position: about the lag (60 ms).
INITIAL_LAG_BACKOFF_SECONDS = 0.06


@attrs.define
class ServerCondition:
    """Times, failures and lag of one server as seen from one proxy.

    Attributes:
      running: This proxy's statements under way there.
      seconds: The smoothed time of a statement, network included; None before
        the first answer.
      best_seconds: The shortest smoothed time seen.
      answered_at: When the last answer came.
      failures: Failures in a row.
      avoid_until: Until when it gets no work that another server can do.
      lag_failures: How often in a row it lacked a position.
      lagging_until: Until when it is taken to lag.
      position: The greatest log position that it has shown.
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
        """Take in an answer.

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
        """Take in an answer that was waited for in vain.

        Had the wait been longer, the answer might have come: the next wait
        is longer, so that a slow server is not taken for a silent one for
        ever.

        Args:
          seconds: How long it was waited for.
        """
        known = seconds if self.seconds is None else self.seconds
        self.seconds = known + TIMEOUT_WEIGHT * max(0.0, seconds - known)
        self.best_seconds = min(self.best_seconds, self.seconds)

    def failed(self, now: float) -> None:
        """Take in a failure to reach it or an overload.

        Args:
          now: The current time in seconds.
        """
        pause = INITIAL_BACKOFF_SECONDS * 2.0 ** min(self.failures, 8)
        self.failures += 1
        self.avoid_until = now + min(pause, MAX_BACKOFF_SECONDS)

    def lagged(self, now: float) -> None:
        """Take in that it lacked a position that was asked for.

        Args:
          now: The current time in seconds.
        """
        pause = INITIAL_LAG_BACKOFF_SECONDS * 2.0 ** min(self.lag_failures, 8)
        self.lag_failures += 1
        self.lagging_until = now + min(pause, MAX_BACKOFF_SECONDS)

    def caught_up(self) -> None:
        """Take in that it had a position that was asked for."""
        self.lag_failures = 0
        self.lagging_until = -math.inf

    def position_seen(self, position: Position | None) -> None:
        """Take in the position in an answer.

        Args:
          position: The position; None if the answer had none.
        """
        if position and (self.position is None or position > self.position):
            self.position = position

    def expected_seconds(self, now: float, unknown: float) -> float:
        """Return how long a statement should take there.

        Args:
          now: The current time in seconds.
          unknown: The answer for a server that has not answered yet.
        """
        if self.seconds is None:
            return unknown
        age = max(0.0, now - self.answered_at)
        decay = math.pow(0.5, age / DECAY_HALF_LIFE_SECONDS)
        return self.best_seconds + (self.seconds - self.best_seconds) * decay
