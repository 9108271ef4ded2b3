"""A bound on retries that keeps them from multiplying load."""

import attrs

RETRY_FRACTION = 0.1
MAX_BALANCE = 10.0


@attrs.define
class RetryBudget:
    """Retries as at most a fraction of first attempts.

    Attributes:
      fraction: Retries that each first attempt allows.
      max_balance: The most retries that can be saved up.
      balance: The retries saved up.
    """

    fraction: float = RETRY_FRACTION
    max_balance: float = MAX_BALANCE
    balance: float = 0.0

    def record_attempt(self) -> None:
        """Count a first attempt."""
        self.balance = min(self.max_balance, self.balance + self.fraction)

    def try_withdraw(self) -> bool:
        """Take one retry; return whether there was one."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
