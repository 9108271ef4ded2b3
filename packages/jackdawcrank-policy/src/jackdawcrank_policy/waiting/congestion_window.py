"""How many statements a server is given at once.

Answers a server that is full: every refused statement costs it work too, so
proxies that only repeat keep it full. Each halves its part until the server
stops refusing, and then feels its way up again.
"""

import attrs

# A window shrinks by this factor when the server refuses: quicker than it
# grows, as with congestion control.
DECREASE_FACTOR = 0.7
# One more statement after about a window of answers divided by this.
INCREASE_STEP = 0.2
# Refusals of one queue overflow come together and count once.
DECREASE_INTERVAL_SECONDS = 0.1


@attrs.define
class CongestionWindow:
    """The statements that may be under way at one server.

    Attributes:
      size: How many; it may lie between two whole numbers.
      max_size: The greatest size.
      decreased_at: When it last shrank, in seconds.
    """

    size: float
    max_size: float
    decreased_at: float = float("-inf")

    def admits(self, under_way: int) -> bool:
        """Return whether another statement may be sent.

        Args:
          under_way: How many are under way.
        """
        return under_way < max(1, int(self.size))

    def answered(self) -> None:
        """Take in an answer."""
        self.size = min(
            self.max_size, self.size + INCREASE_STEP / max(1.0, self.size)
        )

    def refused(self, now: float) -> None:
        """Take in that the server was full.

        Args:
          now: The current time in seconds.
        """
        if now - self.decreased_at >= DECREASE_INTERVAL_SECONDS:
            self.size = max(1.0, self.size * DECREASE_FACTOR)
            self.decreased_at = now
