"""How long to leave a full server alone."""

import random

# A slot is free again after about the mean work of 30 ms.
FIRST_BACKOFF_SECONDS = 0.03
# A full server's queue (24 to 48 statements) is worked off in about this time.
LONGEST_BACKOFF_SECONDS = 0.25


def refusal_backoff_seconds(refusals: int) -> float:
    """Return how long to wait before asking a full server again.

    Args:
      refusals: Refusals of this statement before, from 0.
    """
    base = min(LONGEST_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2.0**refusals)
    return base * random.uniform(0.5, 1.5)
