"""Trigger for replacing a healthy primary whose replicas lag.

Replicas may receive commits but apply them seconds later. Every read then needs
the primary, whose slots cannot serve a whole group. A replica that is promoted
applies everything that it has received, and the old primary stays up to date as
a replica, so two servers can answer reads again.
"""

import math

import attrs

# Longer than the queue of a burst takes to drain (0.5 s) and at least as long
# as a succession (1 s).
MIN_QUEUED_SECONDS = 1.0
# Reads that require a position come many times a second; replicas that lag for
# less than this catch up before a succession is complete.
MIN_LAGGING_SECONDS = 1.0
# Lag that the replicas must report: twice the longest succession (1 s).
MIN_LAG_SECONDS = 2.0
# At most one switchover per lag period; the users' longest last 20 to 30 s.
SWITCHOVER_INTERVAL_SECONDS = 30.0


@attrs.define
class SwitchoverTrigger:
    """Decides when to check the replicas' lag for a switchover.

    Attributes:
      replica_answered_at: When a replica last had the position that a read
        needed, in seconds on a monotonic clock.
      replaced_at: When the primary was last replaced, on the same clock.
    """

    replica_answered_at: float
    replaced_at: float = -math.inf

    def replica_answered(self, now: float) -> None:
        """Record that a replica had the position that a read needed.

        Args:
          now: The current time in seconds.
        """
        self.replica_answered_at = now

    def primary_replaced(self, now: float) -> None:
        """Record that another server has become the primary.

        Args:
          now: The current time in seconds.
        """
        self.replaced_at = now
        self.replica_answered_at = now

    def lag_check_due(self, now: float, queued_seconds: float) -> bool:
        """Return whether the replicas should be asked for their lag.

        Args:
          now: The current time in seconds.
          queued_seconds: How long the primary's queue has been non-empty
            without a break, in seconds.
        """
        return (
            queued_seconds >= MIN_QUEUED_SECONDS
            and now - self.replica_answered_at >= MIN_LAGGING_SECONDS
            and now - self.replaced_at >= SWITCHOVER_INTERVAL_SECONDS
        )
