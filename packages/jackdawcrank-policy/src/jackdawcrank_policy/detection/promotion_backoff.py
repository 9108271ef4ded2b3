"""Exponential back-off between the promotions of one group."""

import attrs

PROMOTIONS_WITHOUT_BACKOFF = 2
PROMOTION_BACKOFF_SECONDS = 10.0
MAX_PROMOTION_BACKOFF_SECONDS = 300.0
PROMOTION_WINDOW_SECONDS = 600.0


@attrs.define
class PromotionBackoff:
    """Prevents a group's primary from flapping between servers.

    The first `PROMOTIONS_WITHOUT_BACKOFF` promotions within
    `PROMOTION_WINDOW_SECONDS` are not delayed, so that a second failure is
    repaired as fast as the first. After that, the pause before each further
    promotion doubles.

    Attributes:
      promoted_at: When the recent unplanned promotions were observed, in
        seconds.
    """

    promoted_at: list[float] = attrs.field(factory=list)

    def promoted(self, now: float) -> None:
        """Record an unplanned promotion, regardless of its coordinator.

        Args:
          now: When it was observed, in seconds.
        """
        self.remove_expired(now)
        self.promoted_at.append(now)

    def ready_at(self, now: float) -> float:
        """Return the earliest time of the next promotion, in seconds.

        Args:
          now: The current time in seconds.
        """
        self.remove_expired(now)
        extra = len(self.promoted_at) - PROMOTIONS_WITHOUT_BACKOFF
        if extra < 0:
            return now
        pause = min(
            PROMOTION_BACKOFF_SECONDS * 2.0**extra,
            MAX_PROMOTION_BACKOFF_SECONDS,
        )
        return max(now, self.promoted_at[-1] + pause)

    def remove_expired(self, now: float) -> None:
        """Remove promotions that are older than the window."""
        cutoff = now - PROMOTION_WINDOW_SECONDS
        self.promoted_at = [at for at in self.promoted_at if at > cutoff]
