"""Delays between attempts."""

import random

BASE_SECONDS = 0.01
CAP_SECONDS = 1.0


def backoff_seconds(
    attempt: int,
    rng: random.Random,
    base: float = BASE_SECONDS,
    cap: float = CAP_SECONDS,
) -> float:
    """Return an exponential delay with full jitter.

    Args:
      attempt: How many attempts were made before, from 0.
      rng: The source of the jitter.
      base: The longest first delay in seconds.
      cap: The longest delay of any attempt in seconds.
    """
    longest = min(cap, base * 2.0 ** min(attempt, 32))
    return rng.uniform(0.0, longest)
