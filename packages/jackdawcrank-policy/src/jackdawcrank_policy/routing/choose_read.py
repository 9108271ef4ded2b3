"""The rule that routes a read to a server."""

import random
from collections.abc import Sequence

from jackdawcrank_policy.routing.candidate import Candidate
from jackdawcrank_policy.routing.choices import (
    ReadChoice,
    Refuse,
    RouteToPrimary,
    RouteToReplica,
    WaitForReplica,
)
from jackdawcrank_policy.routing.read_request import ReadRequest
from jackdawcrank_policy.values import Branch, NotRun, NotRunReason, Position

NEAR_TIE_RATIO = 1.1
WAIT_MARGIN_SECONDS = 0.02
PROBE_WAIT_SECONDS = 0.1
TERM_CHANGE_RETRY_AFTER_MS = 500


def choose_read(
    request: ReadRequest,
    candidates: Sequence[Candidate],
    branch: Branch,
    now: float,
    rng: random.Random,
) -> ReadChoice:
    """Return the routing decision for a read.

    Args:
      request: The read's consistency requirements.
      candidates: The group's servers.
      branch: The group's branch.
      now: The current time in seconds of the monotonic clock.
      rng: The source of randomness that breaks near ties.
    """
    refusal = refuse_lost_position(request, branch)
    if refusal is not None:
        return refusal
    primary = find_primary(candidates)
    if request.token_position is None and request.max_age_ms is None:
        return route_to_primary(primary)
    replicas = [c for c in candidates if c.usable() and not c.primary]
    fresh = [c for c in replicas if c.fresh_enough(request.max_age_ms, now)]
    ready = [c for c in fresh if satisfies_bounds(c, request, branch)]
    if ready:
        return pick_fastest(ready, request, rng)
    if not fresh:
        return probe_or_primary(request, replicas, primary, now)
    return wait_or_primary(request, fresh, primary, now)


def refuse_lost_position(request: ReadRequest, branch: Branch) -> Refuse | None:
    """Return a refusal if no server can answer the read consistently."""
    if request.constraint is not None and request.constraint.lost:
        return write_lost_refusal(
            "the session may have read entries that were lost"
        )
    position = request.bound_off_branch(branch)
    if position is None:
        return None
    if position.term > branch.term:
        return stale_token_refusal(position)
    return write_lost_refusal(
        f"position {position} was lost in a change of primary"
    )


def write_lost_refusal(detail: str) -> Refuse:
    """Return a refusal for a session that depends on a lost write."""
    return Refuse(NotRun(NotRunReason.WRITE_LOST, detail))


def stale_token_refusal(position: Position) -> Refuse:
    """Return a refusal for a token whose term this proxy does not know."""
    detail = f"term {position.term} is not yet known to this proxy"
    return Refuse(
        NotRun(NotRunReason.STALE_TOKEN, detail, TERM_CHANGE_RETRY_AFTER_MS)
    )


def find_primary(candidates: Sequence[Candidate]) -> Candidate | None:
    """Return the primary if it may receive new statements."""
    found = (c for c in candidates if c.primary and c.usable())
    return next(found, None)


def route_to_primary(primary: Candidate | None) -> ReadChoice:
    """Route to the primary, or refuse the read if there is none."""
    if primary is not None:
        return RouteToPrimary()
    detail = "no primary that accepts new statements is known"
    return Refuse(
        NotRun(NotRunReason.NO_PRIMARY, detail, TERM_CHANGE_RETRY_AFTER_MS)
    )


def satisfies_bounds(
    candidate: Candidate, request: ReadRequest, branch: Branch
) -> bool:
    """Return whether a replica covers everything the session has read."""
    if request.pinned_elsewhere(candidate.server):
        return False
    constraint = request.constraint
    if constraint is not None and constraint.server == candidate.server:
        return candidate.reached(request.token_position, branch)
    return candidate.reached(request.target(), branch)


def pick_fastest(
    ready: Sequence[Candidate], request: ReadRequest, rng: random.Random
) -> RouteToReplica:
    """Route to the replica with the shortest expected response time.

    The session stays on its last replica unless another one is clearly
    faster. Other near ties are broken at random so that proxies do not all
    switch to the same replica at once.
    """
    fastest = min(candidate.expected_response_time for candidate in ready)
    near = [
        c for c in ready if c.expected_response_time <= fastest * NEAR_TIE_RATIO
    ]
    last = request.constraint.server if request.constraint else None
    last_used = [c for c in near if c.server == last]
    chosen = last_used[0] if last_used else rng.choice(near)
    return RouteToReplica(chosen.server, chosen.complete_as_of)


def probe_or_primary(
    request: ReadRequest,
    replicas: Sequence[Candidate],
    primary: Candidate | None,
    now: float,
) -> ReadChoice:
    """Wait for new probes if they may help, else route to the primary.

    A read with a maximum age that runs on the primary returns the newest
    data. Monotonic reads would then exclude every replica from the session
    until it has caught up, which takes as long as the replication lag.
    """
    until = now + PROBE_WAIT_SECONDS
    probe_targets = [
        c
        for c in replicas
        if c.may_prove_fresh(request.max_age_ms)
        and not request.pinned_elsewhere(c.server)
    ]
    if not probe_targets or not request.may_wait or until > request.deadline:
        return route_to_primary(primary)
    fastest = min(probe_targets, key=lambda c: c.expected_response_time)
    return WaitForReplica(fastest.server, until, probe=True)


def wait_or_primary(
    request: ReadRequest,
    fresh: Sequence[Candidate],
    primary: Candidate | None,
    now: float,
) -> ReadChoice:
    """Wait for a replica if that is fast enough, else use the primary.

    A wait is fast enough if the answer is expected before the deadline and,
    where there is a primary, at most `replica_wait_seconds` later than the
    primary's answer.
    """
    catching_up = [c for c in fresh if may_wait_for(c, request)]
    if not catching_up:
        return route_to_primary(primary)
    best = min(catching_up, key=total_response_time)
    until = now + (best.catch_up_seconds or 0.0) + WAIT_MARGIN_SECONDS
    if until + best.expected_response_time > request.deadline:
        return route_to_primary(primary)
    if primary is None:
        return WaitForReplica(best.server, until)
    if (
        total_response_time(best)
        > primary.expected_response_time + request.replica_wait_seconds
    ):
        return RouteToPrimary()
    return WaitForReplica(best.server, until)


def may_wait_for(candidate: Candidate, request: ReadRequest) -> bool:
    """Return whether a replica is expected to reach the target position."""
    if not request.may_wait or request.pinned_elsewhere(candidate.server):
        return False
    return candidate.catch_up_seconds is not None


def total_response_time(candidate: Candidate) -> float:
    """Return the expected seconds to an answer, including catch-up."""
    return (
        candidate.catch_up_seconds or 0.0
    ) + candidate.expected_response_time
