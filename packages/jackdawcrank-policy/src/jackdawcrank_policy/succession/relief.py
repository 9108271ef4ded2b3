"""When a group's lead should move although its primary is well.

Answers replicas that receive commits but show them seconds later: every read
then needs the primary, whose slots cannot serve a whole group. A replica that
is promoted shows all that it has received, and the old primary stays up to
date as a replica, so two servers can answer again.
"""

import math

import attrs

# Longer than a burst takes to be worked off (0.5 s) and a hand-over (1 s).
FULL_SECONDS = 1.0
# Proven reads come many times a second; replicas that lag for less than this
# are back before a hand-over is done.
BEHIND_SECONDS = 1.0
# What the replicas must say of their lag: twice the longest hand-over (1 s).
LAG_SECONDS = 2.0
# The lead moves once for a spell of lag; the users' longest last 20 to 30 s.
PAUSE_SECONDS = 30.0


@attrs.define
class Relief:
    """What speaks for moving a group's lead.

    Attributes:
      replica_answered_at: When a replica last answered a read; seconds on a
        monotonic clock.
      moved_at: When the lead last moved.
    """

    replica_answered_at: float
    moved_at: float = -math.inf

    def replica_answered(self, now: float) -> None:
        """Take in that a replica had the position that a read needed.

        Args:
          now: The current time in seconds.
        """
        self.replica_answered_at = now

    def lead_moved(self, now: float) -> None:
        """Take in that there is another primary.

        Args:
          now: The current time in seconds.
        """
        self.moved_at = now
        self.replica_answered_at = now

    def wanted(self, now: float, full_for: float) -> bool:
        """Return whether the replicas should be asked how far they lag.

        Args:
          now: The current time in seconds.
          full_for: For how long statements have waited for the primary
            without a break, in seconds.
        """
        return (
            full_for >= FULL_SECONDS
            and now - self.replica_answered_at >= BEHIND_SECONDS
            and now - self.moved_at >= PAUSE_SECONDS
        )
