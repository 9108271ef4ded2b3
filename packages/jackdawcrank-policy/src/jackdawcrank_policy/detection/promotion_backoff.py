"""Back-off between the promotions of one group."""

import attrs

PROMOTIONS_WITHOUT_BACKOFF = 2
PROMOTION_BACKOFF_SECONDS = 10.0
MAX_PROMOTION_BACKOFF_SECONDS = 300.0
PROMOTION_WINDOW_SECONDS = 600.0


@attrs.define
class PromotionBackoff:
    """Keeps a group's primary from moving back and forth.

    The first promotions within `PROMOTION_WINDOW_SECONDS` follow each other at
    once, so that a second failure is repaired as fast as the first; then the
    pause before the next one doubles.

    Attributes:
      promoted_at: When the recent unplanned promotions were seen, in seconds.
    """

    promoted_at: list[float] = attrs.field(factory=list)

    def promoted(self, now: float) -> None:
        """Record an unplanned promotion, whoever drove it.

        Args:
          now: When it was seen, in seconds.
        """
        self.remove_expired(now)
        self.promoted_at.append(now)

    def ready_at(self, now: float) -> float:
        """Return the time from which another promotion may start.

        Args:
          now: The present time, in seconds.
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
        """Drop promotions that are too old to count."""
        cutoff = now - PROMOTION_WINDOW_SECONDS
        self.promoted_at = [at for at in self.promoted_at if at > cutoff]
