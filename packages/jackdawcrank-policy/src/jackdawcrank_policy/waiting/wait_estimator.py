"""Estimate of the wait for a connection.

During a burst or with slow servers, a statement whose estimated wait exceeds
its deadline is refused at once, while its caller can still use another server
or retry later.
"""

import attrs

# Weight of one sample in the moving average of hold times; the same as for a
# server's answers. A connection is held for a statement or a transaction.
HOLD_TIME_WEIGHT = 0.1
# Estimate before the first sample: the users' mean execution time of 30 ms and
# a round trip.
INITIAL_HOLD_SECONDS = 0.05


@attrs.define
class WaitEstimator:
    """Estimates waits from how long connections of one server are held.

    Attributes:
      hold_seconds: Moving average of the hold time.
    """

    hold_seconds: float = INITIAL_HOLD_SECONDS

    def record_hold(self, seconds: float) -> None:
        """Record how long a connection was held.

        Args:
          seconds: The hold time.
        """
        self.hold_seconds += HOLD_TIME_WEIGHT * (seconds - self.hold_seconds)

    def wait_seconds(self, ahead: int, connections: int) -> float:
        """Return the expected wait for a connection, in seconds.

        Args:
          ahead: Number of statements that are served first.
          connections: Number of connections that serve the queue.
        """
        return (ahead + 1) * self.hold_seconds / max(1, connections)
