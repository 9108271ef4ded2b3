"""Delays between retry attempts."""

import random

BASE_SECONDS = 0.01
CAP_SECONDS = 1.0


def backoff_seconds(
    attempt: int,
    rng: random.Random,
    base: float = BASE_SECONDS,
    cap: float = CAP_SECONDS,
) -> float:
    """Return an exponential backoff delay in seconds, with full jitter.

    Args:
      attempt: The number of earlier attempts, starting at 0.
      rng: The source of the jitter.
      base: The upper limit of the first delay in seconds.
      cap: The upper limit of every delay in seconds.
    """
    longest = min(cap, base * 2.0 ** min(attempt, 32))
    return rng.uniform(0.0, longest)
