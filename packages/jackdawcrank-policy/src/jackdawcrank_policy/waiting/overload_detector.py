"""How long waiting for a turn makes sense.

Answers an overload that lasts, such as a group whose replicas lag, so that one
server has the work of three. A burst is worth waiting for: the line is empty
again soon. A line that stands serves no more statements than a short one, and
each of them later; so whoever comes to it waits briefly or is refused, while
its caller has time to come back.
"""

import attrs

# The users' bursts are worked off in about the aim of an operation (0.4 to
# 1 s); a line that has not been empty for longer is no burst.
OVERLOAD_AFTER_SECONDS = 0.5
# Of a statement's time (0.8 to 3 s); three more tries fit in the rest.
OVERLOAD_WAIT_SHARE = 0.25


@attrs.frozen
class WaitLimits:
    """How a statement may wait.

    Attributes:
      priority: 0 goes first.
      deadline: When it must have been sent; seconds on a monotonic clock.
      overload_deadline: When it must have been sent if the line is standing.
    """

    priority: int
    deadline: float
    overload_deadline: float


@attrs.define
class OverloadDetector:
    """Tells a line that stands from one that a burst has left.

    Attributes:
      nonempty_since: Since when newcomers have found somebody waiting; None if
        the latest one did not.
    """

    nonempty_since: float | None = None

    def wait_deadline(
        self, now: float, waiting: int, limits: WaitLimits
    ) -> float:
        """Return until when a newcomer should wait.

        Args:
          now: The current time in seconds.
          waiting: Who waits already.
          limits: How the newcomer may wait.
        """
        if not waiting:
            self.nonempty_since = None
        elif self.nonempty_since is None:
            self.nonempty_since = now
        return (
            limits.overload_deadline
            if self.is_overloaded(now)
            else limits.deadline
        )

    def is_overloaded(self, now: float) -> bool:
        """Return whether the line has not been empty for long.

        Args:
          now: The current time in seconds.
        """
        return self.nonempty_seconds(now) >= OVERLOAD_AFTER_SECONDS

    def nonempty_seconds(self, now: float) -> float:
        """Return for how long newcomers have found somebody waiting.

        Args:
          now: The current time in seconds.
        """
        return 0.0 if self.nonempty_since is None else now - self.nonempty_since
