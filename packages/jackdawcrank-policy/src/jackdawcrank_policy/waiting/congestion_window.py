"""Congestion window for the statements sent to one server.

A refused statement also costs a full server work, so proxies that only retry
keep it full. Each proxy reduces its window by a constant factor until the
server stops refusing, and then increases it gradually.
"""

import attrs

# Factor applied on a refusal. The decrease is faster than the increase, as in
# congestion control.
DECREASE_FACTOR = 0.7
# Increase per window of answers: the window grows by one statement after about
# 1 / INCREASE_STEP windows.
INCREASE_STEP = 0.2
# Refusals caused by one queue overflow arrive together and count once.
DECREASE_INTERVAL_SECONDS = 0.1


@attrs.define
class CongestionWindow:
    """Limit on the statements in flight to one server.

    Attributes:
      size: The current limit, as a fraction; `admits` rounds it down.
      max_size: The upper bound of `size`.
      decreased_at: When the window was last decreased, in seconds.
      granted: The limit that the capacity holder of the group has granted;
        None while the window follows answers and refusals.
    """

    size: float
    max_size: float
    decreased_at: float = float("-inf")
    granted: int | None = None

    def grant(self, places: int) -> None:
        """Use a granted limit, whatever the answers and refusals.

        Args:
          places: The number of statements that may be in flight.
        """
        self.granted = places
        self.size = min(self.max_size, places)

    def end_grant(self, size: float) -> None:
        """Follow answers and refusals again.

        Args:
          size: The limit to begin with.
        """
        self.granted = None
        self.size = min(self.max_size, size)

    def admits(self, under_way: int) -> bool:
        """Return whether another statement may be sent.

        Args:
          under_way: Number of statements in flight.
        """
        return under_way < max(1, int(self.size))

    def answered(self) -> None:
        """Record an answer, which increases the window."""
        if self.granted is not None:
            return
        self.size = min(
            self.max_size, self.size + INCREASE_STEP / max(1.0, self.size)
        )

    def refused(self, now: float) -> None:
        """Record a refusal because the server was full.

        Args:
          now: The current time in seconds.
        """
        if self.granted is not None:
            return
        if now - self.decreased_at >= DECREASE_INTERVAL_SECONDS:
            self.size = max(1.0, self.size * DECREASE_FACTOR)
            self.decreased_at = now
