"""A bound on retries that keeps them from multiplying load."""

import attrs

RETRY_FRACTION = 0.1
MAX_SAVED_RETRIES = 10.0


@attrs.define
class RetryBudget:
    """Retries as at most a fraction of first attempts.

    Attributes:
      fraction: Retries that each first attempt allows.
      maximum: The most retries that can be saved up.
      saved: The retries saved up.
    """

    fraction: float = RETRY_FRACTION
    maximum: float = MAX_SAVED_RETRIES
    saved: float = 0.0

    def attempt(self) -> None:
        """Count a first attempt."""
        self.saved = min(self.maximum, self.saved + self.fraction)

    def take(self) -> bool:
        """Take one retry; return whether there was one."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
