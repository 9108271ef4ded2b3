"""Pauses between the calls of one process to a store that is lost.

Hundreds of processes notice an outage in the same second. The sum of their
calls must neither keep an overloaded store busy nor delay its return, so the
pauses double, and one process that finds the store again tells others.
"""

import random

from jackdawcrank_policy.retry.backoff import backoff_seconds

# Short enough that a single lost answer delays nothing noticeably.
FIRST_PAUSE_SECONDS = 0.2
# Share of a pause that is random, so that processes that lost the store at the
# same moment do not call it at the same moment.
JITTER_SHARE = 0.5


def probe_pause_seconds(
    failures: int, longest_seconds: float, rng: random.Random
) -> float:
    """Return how long a process waits before it calls a lost store again.

    Args:
      failures: The number of failed calls in a row, at least 1.
      longest_seconds: The longest pause, in seconds.
      rng: The source of the jitter.
    """
    return backoff_seconds(
        failures - 1,
        rng,
        FIRST_PAUSE_SECONDS,
        longest_seconds,
        1.0 - JITTER_SHARE,
    )
