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
STANDING_SECONDS = 0.5
# Of a statement's time (0.8 to 3 s); three more tries fit in the rest.
STANDING_SHARE = 0.25


@attrs.frozen
class WaitLimits:
    """How a statement may wait.

    Attributes:
      priority: 0 goes first.
      latest: When it must have been sent; seconds on a monotonic clock.
      early: When it must have been sent if the line is standing.
    """

    priority: int
    latest: float
    early: float


@attrs.define
class Patience:
    """Tells a line that stands from one that a burst has left.

    Attributes:
      busy_since: Since when newcomers have found somebody waiting; None if
        the latest one did not.
    """

    busy_since: float | None = None

    def give_up_at(self, now: float, waiting: int, limits: WaitLimits) -> float:
        """Return until when a newcomer should wait.

        Args:
          now: The current time in seconds.
          waiting: Who waits already.
          limits: How the newcomer may wait.
        """
        if not waiting:
            self.busy_since = None
        elif self.busy_since is None:
            self.busy_since = now
        return limits.early if self.standing(now) else limits.latest

    def standing(self, now: float) -> bool:
        """Return whether the line has not been empty for long.

        Args:
          now: The current time in seconds.
        """
        return self.busy_for(now) >= STANDING_SECONDS

    def busy_for(self, now: float) -> float:
        """Return for how long newcomers have found somebody waiting.

        Args:
          now: The current time in seconds.
        """
        return 0.0 if self.busy_since is None else now - self.busy_since
