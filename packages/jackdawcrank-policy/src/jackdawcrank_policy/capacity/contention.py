"""Demand of one home for one server, counted between two reports.

Load: bursts that reach some homes of a server more than others. A home reports
only while statements wait or are refused, so that a calm day has no messages.
"""

import attrs


@attrs.define
class Contention:
    """Counts what a home reports about one server.

    Attributes:
      peak: The largest number of statements in flight and waiting, counted
        together.
      refusals: The statements that the server refused as full.
      contended: Whether a statement waited or was refused.
    """

    peak: int = 0
    refusals: int = 0
    contended: bool = False

    def entered(self, demand: int) -> None:
        """Record a statement that may be sent at once.

        Args:
          demand: The statements in flight and waiting, with this one.
        """
        self.peak = max(self.peak, demand)

    def waited(self, demand: int) -> None:
        """Record a statement that has to wait.

        Args:
          demand: The statements in flight and waiting, with this one.
        """
        self.peak = max(self.peak, demand)
        self.contended = True

    def refused(self) -> None:
        """Record a statement that the server refused as full."""
        self.refusals += 1
        self.contended = True

    def take(self, demand: int) -> tuple[int, int]:
        """Return the peak of demand and the refusals, and begin again.

        Args:
          demand: The statements in flight and waiting now.
        """
        taken = max(self.peak, demand), self.refusals
        self.peak = demand
        self.refusals = 0
        self.contended = False
        return taken
