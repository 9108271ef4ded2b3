"""Whether a turn comes in time.

Answers the load of a burst or of slow servers: a statement whose turn cannot
come within its time is refused at once, while its caller can still be served
elsewhere or come back later.
"""

import attrs

# A connection is lent for a statement or a transaction; one in ten moves the
# smoothed time, as with a server's answers.
HOLD_TIME_WEIGHT = 0.1
# Before the first loan ended: our users' mean work of 30 ms and a round trip.
INITIAL_HOLD_SECONDS = 0.05


@attrs.define
class WaitEstimator:
    """How long connections of one server are lent.

    Attributes:
      hold_seconds: The smoothed time of one loan.
    """

    hold_seconds: float = INITIAL_HOLD_SECONDS

    def record_hold(self, seconds: float) -> None:
        """Take in the end of a loan.

        Args:
          seconds: How long it was.
        """
        self.hold_seconds += HOLD_TIME_WEIGHT * (seconds - self.hold_seconds)

    def wait_seconds(self, ahead: int, connections: int) -> float:
        """Return how long a newcomer should wait for a connection.

        Args:
          ahead: Who is served before it.
          connections: Connections that are lent.
        """
        return (ahead + 1) * self.hold_seconds / max(1, connections)
