"""Backoff after a refusal by a full server."""

import random

# A slot becomes free after about the mean execution time of 30 ms.
FIRST_BACKOFF_SECONDS = 0.03
# A full server works through its queue (24 to 48 statements) in about this
# time.
LONGEST_BACKOFF_SECONDS = 0.25


def refusal_backoff_seconds(refusals: int) -> float:
    """Return the randomized delay before a statement is sent again.

    Args:
      refusals: Number of earlier refusals of this statement, from 0.

    Returns:
      The delay in seconds.
    """
    base = min(LONGEST_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2.0**refusals)
    return base * random.uniform(0.5, 1.5)
