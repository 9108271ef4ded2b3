"""Bounds how often the store is asked."""

import attrs


@attrs.define
class TokenBucket:
    """A token bucket whose takers queue by waiting.

    Attributes:
      per_second: Requests per second in the long run.
      burst: Requests that may be sent at once.
      tokens: What is left; below zero while takers wait.
      filled_at: When the bucket was last filled.
    """

    per_second: float
    burst: float
    tokens: float = attrs.field()
    filled_at: float = 0.0

    @tokens.default
    def full_bucket(self) -> float:
        """Return the tokens of a full bucket."""
        return self.burst

    def take(self, now: float, max_wait: float) -> float | None:
        """Take a token and return how long to wait before using it.

        Args:
          now: The present.
          max_wait: The longest wait in seconds that is of use.

        Returns:
          The wait in seconds; None, and nothing taken, if it is too long.
        """
        refill = max(0.0, now - self.filled_at) * self.per_second
        self.tokens = min(self.burst, self.tokens + refill)
        self.filled_at = now
        wait = max(0.0, (1.0 - self.tokens) / self.per_second)
        if wait > max_wait:
            return None
        self.tokens -= 1.0
        return wait
