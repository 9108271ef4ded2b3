"""Whether the store can be reached from here."""

from jackdawcrank.decisions import DecisionLog


class StoreHealth:
    """The outcome of the latest calls to the store.

    Attributes:
      lost: Whether the latest call got no usable answer.
      failures: Calls without one since the last usable answer.
    """

    def __init__(self, log: DecisionLog) -> None:
        self.log = log
        self.lost = False
        self.failures = 0

    def record_success(self) -> None:
        """Take in a usable answer."""
        if self.lost:
            self.log.event("store_regained", failures=self.failures)
        self.lost = False
        self.failures = 0

    def record_failure(self, detail: str) -> None:
        """Take in a call without one.

        Args:
          detail: A sentence about it.
        """
        if not self.lost:
            self.log.event("store_lost", detail=detail)
        self.lost = True
        self.failures += 1
