"""The rule that sends a read to a server."""

import random
from collections.abc import Sequence

from jackdawcrank_policy.routing.candidate import Candidate
from jackdawcrank_policy.routing.choices import (
    ReadChoice,
    Refuse,
    ToPrimary,
    ToServer,
    WaitForReplica,
)
from jackdawcrank_policy.routing.read_request import ReadRequest
from jackdawcrank_policy.values import Branch, NotRun, NotRunReason, Position

NEAR_TIE = 1.1
WAIT_MARGIN_SECONDS = 0.02
PROBE_WAIT_SECONDS = 0.1
RETRY_AFTER_TERM_MS = 500


def choose_read(
    request: ReadRequest,
    candidates: Sequence[Candidate],
    branch: Branch,
    now: float,
    rng: random.Random,
) -> ReadChoice:
    """Return what to do with a read.

    Args:
      request: What the read asks for.
      candidates: The group's servers.
      branch: The group's branch.
      now: The current time.
      rng: Breaks near ties between replicas.
    """
    refusal = refuse_lost(request, branch)
    if refusal is not None:
        return refusal
    primary = find_primary(candidates)
    if request.token_position is None and request.max_age_ms is None:
        return to_primary(primary)
    replicas = [c for c in candidates if c.usable() and not c.primary]
    fresh = [c for c in replicas if c.fresh_enough(request.max_age_ms, now)]
    ready = [c for c in fresh if covers(c, request, branch)]
    if ready:
        return pick(ready, request, rng)
    if not fresh:
        return probe_or_primary(request, replicas, primary, now)
    return wait_or_primary(request, fresh, primary, now)


def refuse_lost(request: ReadRequest, branch: Branch) -> Refuse | None:
    """Return the refusal of a read that no server can answer truly."""
    if request.hold is not None and request.hold.lost:
        return lost("the session may have read entries that were lost")
    position = request.lost_bound(branch)
    if position is None:
        return None
    if position.term > branch.term:
        return behind(position)
    return lost(f"position {position} was lost in a change of primary")


def lost(detail: str) -> Refuse:
    """Return the refusal that says a write was lost."""
    return Refuse(NotRun(NotRunReason.WRITE_LOST, detail))


def behind(position: Position) -> Refuse:
    """Return the refusal of a token whose term is not known here yet."""
    detail = f"term {position.term} is not known here yet"
    return Refuse(NotRun(NotRunReason.STALE_TOKEN, detail, RETRY_AFTER_TERM_MS))


def find_primary(candidates: Sequence[Candidate]) -> Candidate | None:
    """Return the primary, if it may get work."""
    found = (c for c in candidates if c.primary and c.usable())
    return next(found, None)


def to_primary(primary: Candidate | None) -> ReadChoice:
    """Return the choice of the primary, or a refusal if there is none."""
    if primary is not None:
        return ToPrimary()
    detail = "no primary is known that may get work"
    return Refuse(NotRun(NotRunReason.NO_PRIMARY, detail, RETRY_AFTER_TERM_MS))


def covers(candidate: Candidate, request: ReadRequest, branch: Branch) -> bool:
    """Return whether a replica covers all that the session has seen."""
    if request.pinned_elsewhere(candidate.server):
        return False
    hold = request.hold
    if hold is not None and hold.server == candidate.server:
        return candidate.reached(request.token_position, branch)
    return candidate.reached(request.target(), branch)


def pick(
    ready: Sequence[Candidate], request: ReadRequest, rng: random.Random
) -> ToServer:
    """Return the replica that should answer first.

    The session's last replica is kept unless another is clearly faster, and
    near ties are broken at random so that proxies don't move in step.
    """
    fastest = min(candidate.expected for candidate in ready)
    near = [c for c in ready if c.expected <= fastest * NEAR_TIE]
    last = request.hold.server if request.hold else None
    same = [c for c in near if c.server == last]
    chosen = same[0] if same else rng.choice(near)
    return ToServer(chosen.server, chosen.complete_as_of)


def probe_or_primary(
    request: ReadRequest,
    replicas: Sequence[Candidate],
    primary: Candidate | None,
    now: float,
) -> ReadChoice:
    """Return a wait for new probes where they may help, else the primary.

    A read within a stated age would make the session see the primary's
    newest data, behind which it could not go back for as long as the lag.
    """
    until = now + PROBE_WAIT_SECONDS
    hopeful = [
        c
        for c in replicas
        if c.may_prove_fresh(request.max_age_ms)
        and not request.pinned_elsewhere(c.server)
    ]
    if not hopeful or not request.may_wait or until > request.deadline:
        return to_primary(primary)
    fastest = min(hopeful, key=lambda c: c.expected)
    return WaitForReplica(fastest.server, until, probe=True)


def wait_or_primary(
    request: ReadRequest,
    fresh: Sequence[Candidate],
    primary: Candidate | None,
    now: float,
) -> ReadChoice:
    """Return a wait that beats the primary, else the primary."""
    waits = [c for c in fresh if may_wait_for(c, request)]
    if not waits:
        return to_primary(primary)
    best = min(waits, key=answer_time)
    until = now + (best.catch_up or 0.0) + WAIT_MARGIN_SECONDS
    if until + best.expected > request.deadline:
        return to_primary(primary)
    if primary is None:
        return WaitForReplica(best.server, until)
    if answer_time(best) > primary.expected + request.primary_relief:
        return ToPrimary()
    return WaitForReplica(best.server, until)


def may_wait_for(candidate: Candidate, request: ReadRequest) -> bool:
    """Return whether a replica should reach the session's target."""
    if not request.may_wait or request.pinned_elsewhere(candidate.server):
        return False
    return candidate.catch_up is not None


def answer_time(candidate: Candidate) -> float:
    """Return the seconds to an answer with the wait for the token."""
    return (candidate.catch_up or 0.0) + candidate.expected
