"""How many statements a server is given at once.

Answers a server that is full: every refused statement costs it work too, so
proxies that only repeat keep it full. Each halves its part until the server
stops refusing, and then feels its way up again.
"""

import attrs

# A window shrinks by this factor when the server refuses: quicker than it
# grows, as with congestion control.
SHRINK = 0.7
# One more statement after about a window of answers divided by this.
GROWTH = 0.2
# Refusals of one queue overflow come together and count once.
REFUSAL_SECONDS = 0.1


@attrs.define
class Window:
    """The statements that may be under way at one server.

    Attributes:
      size: How many; it may lie between two whole numbers.
      most: The greatest size.
      shrunk_at: When it last shrank, in seconds.
    """

    size: float
    most: float
    shrunk_at: float = float("-inf")

    def admits(self, under_way: int) -> bool:
        """Return whether another statement may be sent.

        Args:
          under_way: How many are under way.
        """
        return under_way < max(1, int(self.size))

    def answered(self) -> None:
        """Take in an answer."""
        self.size = min(self.most, self.size + GROWTH / max(1.0, self.size))

    def refused(self, now: float) -> None:
        """Take in that the server was full.

        Args:
          now: The current time in seconds.
        """
        if now - self.shrunk_at >= REFUSAL_SECONDS:
            self.size = max(1.0, self.size * SHRINK)
            self.shrunk_at = now
