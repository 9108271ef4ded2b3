"""Token bucket that limits the rate of store requests."""

import attrs


@attrs.define
class TokenBucket:
    """A token bucket that hands out tokens in advance.

    A request that finds no token reserves the next one and waits for it.

    Attributes:
      per_second: The tokens added per second.
      burst: The capacity of the bucket.
      tokens: The available tokens; negative while requests wait.
      filled_at: The time of the last refill, in monotonic seconds.
    """

    per_second: float
    burst: float
    tokens: float = attrs.field()
    filled_at: float = 0.0

    @tokens.default
    def full_bucket(self) -> float:
        """Return the number of tokens in a full bucket."""
        return self.burst

    def take(self, now: float, max_wait: float) -> float | None:
        """Take a token and return how long to wait before using it.

        Args:
          now: The current time in monotonic seconds.
          max_wait: The maximum wait in seconds.

        Returns:
          The wait in seconds; None if it exceeds `max_wait`, in which case no
          token is taken.
        """
        refill = max(0.0, now - self.filled_at) * self.per_second
        self.tokens = min(self.burst, self.tokens + refill)
        self.filled_at = now
        wait = max(0.0, (1.0 - self.tokens) / self.per_second)
        if wait > max_wait:
            return None
        self.tokens -= 1.0
        return wait
