"""A budget that keeps retries from amplifying an overload."""

import attrs

RETRY_FRACTION = 0.1
MAX_BALANCE = 10.0


@attrs.define
class RetryBudget:
    """A budget that limits retries to a fraction of first attempts.

    Attributes:
      fraction: The number of retries that each first attempt adds to the
        balance.
      max_balance: The maximum balance.
      balance: The accumulated retries; each retry withdraws 1.
    """

    fraction: float = RETRY_FRACTION
    max_balance: float = MAX_BALANCE
    balance: float = 0.0

    def record_attempt(self) -> None:
        """Record a first attempt, which adds to the balance."""
        self.balance = min(self.max_balance, self.balance + self.fraction)

    def try_withdraw(self) -> bool:
        """Withdraw one retry and return whether the balance allowed it."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
