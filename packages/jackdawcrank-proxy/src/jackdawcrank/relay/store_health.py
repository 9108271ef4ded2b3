"""Whether this process can reach the store."""

from jackdawcrank.decisions import DecisionLog


class StoreHealth:
    """Tracks whether calls to the store succeed.

    Attributes:
      lost: Whether the latest call got no usable answer.
      failures: The number of failed calls since the last usable answer.
    """

    def __init__(self, log: DecisionLog) -> None:
        self.log = log
        self.lost = False
        self.failures = 0

    def record_success(self) -> None:
        """Record a usable answer."""
        if self.lost:
            self.log.event("store_regained", failures=self.failures)
        self.lost = False
        self.failures = 0

    def record_failure(self, detail: str) -> None:
        """Record a call that got no usable answer.

        Args:
          detail: A description of the failure for the log.
        """
        if not self.lost:
            self.log.event("store_lost", detail=detail)
        self.lost = True
        self.failures += 1
