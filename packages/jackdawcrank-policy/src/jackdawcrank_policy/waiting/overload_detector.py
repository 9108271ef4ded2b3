"""Wait limits for queued statements under sustained overload.

A sustained overload occurs, for example, when the replicas of a group lag and
one server receives the load of three. A queue that a burst has filled drains
within about a second, so its statements may use their full deadline. A queue
that stays non-empty serves no more statements than a short one, and serves each
of them later. Statements that join it therefore wait only briefly or are
refused, which leaves their callers time to retry.
"""

import attrs

# The users' bursts drain within about the target time of an operation (0.4 to
# 1 s); a queue that stays non-empty is treated as overloaded, not as a burst.
OVERLOAD_AFTER_SECONDS = 0.5
# Share of a statement's time limit (0.8 to 3 s) that it may wait in an
# overloaded queue; the rest leaves room for three more attempts.
OVERLOAD_WAIT_SHARE = 0.25


@attrs.frozen
class WaitLimits:
    """How long a statement may wait in a queue.

    Attributes:
      priority: Lower values are served first; new work starts at 0.
      deadline: Latest time to send the statement, in seconds on a monotonic
        clock.
      overload_deadline: Latest time to send it if the queue is overloaded, on
        the same clock.
    """

    priority: int
    deadline: float
    overload_deadline: float


@attrs.define
class OverloadDetector:
    """Distinguishes a sustained overload from a burst.

    Attributes:
      nonempty_since: Since when arriving statements have found the queue
        non-empty, in seconds; None if the latest one found it empty.
      last_deadline: When the last of these statements has left the queue at
        the latest, in seconds on the same clock.
    """

    nonempty_since: float | None = None
    last_deadline: float = 0.0

    def wait_deadline(
        self, now: float, waiting: int, limits: WaitLimits
    ) -> float:
        """Return how long an arriving statement may wait, as a point in time.

        Records whether the statement found the queue empty.

        Args:
          now: The current time in seconds.
          waiting: Number of statements that are already waiting.
          limits: The wait limits of the arriving statement.
        """
        if not waiting or now > self.last_deadline:
            self.nonempty_since = now if waiting else None
            self.last_deadline = 0.0
        elif self.nonempty_since is None:
            self.nonempty_since = now
        deadline = (
            limits.overload_deadline
            if self.is_overloaded(now)
            else limits.deadline
        )
        self.last_deadline = max(self.last_deadline, deadline)
        return deadline

    def is_overloaded(self, now: float) -> bool:
        """Return whether the queue has been non-empty for too long.

        Args:
          now: The current time in seconds.
        """
        return self.nonempty_seconds(now) >= OVERLOAD_AFTER_SECONDS

    def nonempty_seconds(self, now: float) -> float:
        """Return how long arrivals have found the queue non-empty, in seconds.

        This is 0 once every statement that has arrived must have left.

        Args:
          now: The current time in seconds.
        """
        if self.nonempty_since is None or now > self.last_deadline:
            return 0.0
        return now - self.nonempty_since
