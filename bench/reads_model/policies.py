"""The ways to send a read that are compared."""

import enum
import random

from jackdawcrank_policy.routing import (
    ReadChoice,
    ReadRequest,
    RouteToPrimary,
    RouteToReplica,
    RoutingTable,
    WaitForReplica,
)

REPLICAS = ("b", "c")
RANDOM_WAIT_SECONDS = 1.0


class Policy(enum.StrEnum):
    """A way to send reads."""

    EVIDENCE = "evidence"
    TOKEN_TO_PRIMARY = "token_to_primary"
    RANDOM_WITH_WAIT = "random_with_wait"


def choose(
    policy: Policy,
    table: RoutingTable,
    request: ReadRequest,
    now: float,
    rng: random.Random,
) -> ReadChoice:
    """Return what a policy does with a read."""
    if policy is Policy.EVIDENCE:
        return table.choose(request, now, rng)
    if policy is Policy.TOKEN_TO_PRIMARY:
        if request.max_age_ms is None:
            return RouteToPrimary()
        return table.choose(request, now, rng)
    return choose_random(request, now, rng)


def choose_random(
    request: ReadRequest, now: float, rng: random.Random
) -> ReadChoice:
    """Return a random replica, after a wait if there is a token."""
    if request.token_position is None:
        if request.max_age_ms is None:
            return RouteToPrimary()
        return RouteToReplica(rng.choice(REPLICAS))
    if not request.may_wait:
        return RouteToPrimary()
    return WaitForReplica(rng.choice(REPLICAS), now + RANDOM_WAIT_SECONDS)
