"""Whether a turn comes in time.

Answers the load of a burst or of slow servers: a statement whose turn cannot
come within its time is refused at once, while its caller can still be served
elsewhere or come back later.
"""

import attrs

# A connection is lent for a statement or a transaction; one in ten moves the
# smoothed time, as with a server's answers.
LOAN_WEIGHT = 0.1
# Before the first loan ended: our users' mean work of 30 ms and a round trip.
FIRST_LOAN_SECONDS = 0.05


@attrs.define
class Turn:
    """How long connections of one server are lent.

    Attributes:
      loan_seconds: The smoothed time of one loan.
    """

    loan_seconds: float = FIRST_LOAN_SECONDS

    def ended(self, seconds: float) -> None:
        """Take in the end of a loan.

        Args:
          seconds: How long it was.
        """
        self.loan_seconds += LOAN_WEIGHT * (seconds - self.loan_seconds)

    def wait_seconds(self, ahead: int, connections: int) -> float:
        """Return how long a newcomer should wait for a connection.

        Args:
          ahead: Who is served before it.
          connections: Connections that are lent.
        """
        return (ahead + 1) * self.loan_seconds / max(1, connections)
