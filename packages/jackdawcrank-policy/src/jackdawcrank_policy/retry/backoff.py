"""Delays between retry attempts."""

import random

BASE_SECONDS = 0.01
CAP_SECONDS = 1.0


def backoff_seconds(
    attempt: int,
    rng: random.Random,
    base: float = BASE_SECONDS,
    cap: float = CAP_SECONDS,
    least_share: float = 0.0,
) -> float:
    """Return an exponential backoff delay in seconds, with jitter.

    Args:
      attempt: The number of earlier attempts, starting at 0.
      rng: The source of the jitter.
      base: The upper limit of the first delay in seconds.
      cap: The upper limit of every delay in seconds.
      least_share: The lower limit of a delay as a share of its upper limit;
        0 for full jitter.
    """
    longest = min(cap, base * 2.0 ** min(attempt, 32))
    return rng.uniform(least_share * longest, longest)
