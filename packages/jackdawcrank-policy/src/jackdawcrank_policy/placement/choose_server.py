"""Selection of a server for a read.

At the daily peak and during bursts, replicas serve the reads whose position
they are known to have. Nearer replicas are preferred until they become slower
than a more distant server.
"""

import enum
from collections.abc import Iterable

import attrs

from jackdawcrank_policy.placement.outcome_health import OutcomeHealth
from jackdawcrank_policy.placement.server_condition import ServerCondition
from jackdawcrank_policy.values.position import Position


class Distance(enum.IntEnum):
    """Network distance between a server and this proxy."""

    DATA_CENTER = 0
    REGION = 1
    ELSEWHERE = 2


# Expected time of a statement on a server that has not answered yet: the users'
# mean execution time of 30 ms and their round trips of 0.4, 3 and 16 to 40 ms.
INITIAL_ESTIMATE_SECONDS = {
    Distance.DATA_CENTER: 0.030,
    Distance.REGION: 0.033,
    Distance.ELSEWHERE: 0.060,
}
# Traffic between regions costs the users about as much as 10 ms of latency.
REGION_PENALTY_SECONDS = 0.010
# Writes and a quarter of the reads can only run on the primary. Other reads are
# sent to it only if the replicas are clearly slower.
PRIMARY_FACTOR = 2.0


@attrs.frozen
class ServerCandidate:
    """A server that may run a read.

    Attributes:
      server_id: The server's name.
      distance: Its network distance from this proxy.
      slots: Number of statements that it runs concurrently.
      condition: Its state as observed by this proxy.
      waiting: Number of statements that wait here for a connection to it.
    """

    server_id: str
    distance: Distance
    slots: int
    condition: ServerCondition
    waiting: int = 0


def choose_server(
    candidates: Iterable[ServerCandidate],
    now: float,
    needed: Position | None,
    primary: str | None,
    health: OutcomeHealth | None = None,
) -> str | None:
    """Return the server that is expected to answer first, or None.

    Args:
      candidates: The servers that may run the read.
      now: The current time in seconds.
      needed: The position that a replica must have; None if there is none.
      primary: The candidate that is the primary and whose position is not
        checked, if any.
      health: The health of the group's servers; None if it is not considered.
    """
    available = [
        candidate
        for candidate in candidates
        if candidate.condition.avoid_until <= now
    ]
    eligible = [
        candidate
        for candidate in available
        if candidate.server_id == primary
        or has_position(candidate, now, needed)
    ]
    if health is not None:
        withheld = health.withheld([one.server_id for one in eligible], now)
        eligible = [one for one in eligible if one.server_id not in withheld]
    if not eligible:
        return None
    return min(
        eligible,
        key=lambda candidate: (
            expected_seconds(candidate, now)
            * (PRIMARY_FACTOR if candidate.server_id == primary else 1.0)
        ),
    ).server_id


def has_position(
    candidate: ServerCandidate, now: float, needed: Position | None
) -> bool:
    """Return whether a replica is likely to have a position.

    Args:
      candidate: The replica.
      now: The current time in seconds.
      needed: The position; None if there is no requirement.
    """
    condition = candidate.condition
    if needed is None:
        return True
    if condition.position is not None and condition.position >= needed:
        return True
    return condition.lagging_until <= now


def expected_seconds(candidate: ServerCandidate, now: float) -> float:
    """Return the expected time of a read on a candidate, in seconds.

    Args:
      candidate: The server.
      now: The current time in seconds.
    """
    condition = candidate.condition
    unknown = INITIAL_ESTIMATE_SECONDS[candidate.distance]
    seconds = condition.expected_seconds(now, unknown)
    ahead = condition.running + candidate.waiting
    queued = ahead / max(1, candidate.slots)
    remote = candidate.distance is Distance.ELSEWHERE
    return seconds * (1.0 + queued) + (
        REGION_PENALTY_SECONDS if remote else 0.0
    )
