"""When a group's lead should move although its primary is well.

Answers replicas that receive commits but show them seconds later: every read
then needs the primary, whose slots cannot serve a whole group. A replica that
is promoted shows all that it has received, and the old primary stays up to
date as a replica, so two servers can answer again.
"""

import math

import attrs

# Longer than a burst takes to be worked off (0.5 s) and a hand-over (1 s).
MIN_QUEUED_SECONDS = 1.0
# Proven reads come many times a second; replicas that lag for less than this
# are back before a hand-over is done.
MIN_LAGGING_SECONDS = 1.0
# What the replicas must say of their lag: twice the longest hand-over (1 s).
MIN_LAG_SECONDS = 2.0
# The lead moves once for a spell of lag; the users' longest last 20 to 30 s.
SWITCHOVER_INTERVAL_SECONDS = 30.0


@attrs.define
class SwitchoverTrigger:
    """What speaks for moving a group's lead.

    Attributes:
      replica_answered_at: When a replica last answered a read; seconds on a
        monotonic clock.
      replaced_at: When the lead last moved.
    """

    replica_answered_at: float
    replaced_at: float = -math.inf

    def replica_answered(self, now: float) -> None:
        """Take in that a replica had the position that a read needed.

        Args:
          now: The current time in seconds.
        """
        self.replica_answered_at = now

    def primary_replaced(self, now: float) -> None:
        """Take in that there is another primary.

        Args:
          now: The current time in seconds.
        """
        self.replaced_at = now
        self.replica_answered_at = now

    def lag_check_due(self, now: float, queued_seconds: float) -> bool:
        """Return whether the replicas should be asked how far they lag.

        Args:
          now: The current time in seconds.
          queued_seconds: For how long statements have waited for the primary
            without a break, in seconds.
        """
        return (
            queued_seconds >= MIN_QUEUED_SECONDS
            and now - self.replica_answered_at >= MIN_LAGGING_SECONDS
            and now - self.replaced_at >= SWITCHOVER_INTERVAL_SECONDS
        )
