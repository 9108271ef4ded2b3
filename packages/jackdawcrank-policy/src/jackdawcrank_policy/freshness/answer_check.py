"""The check of whether a read's answer may be returned to the caller."""

from jackdawcrank_policy.freshness.evidence import Evidence
from jackdawcrank_policy.values import Branch, Position


def answer_is_valid(
    evidence: Evidence,
    server: str,
    branch: Branch,
    bound: Position | None,
    answered_at: float,
) -> bool:
    """Return whether the server was still on the branch when it answered.

    A server that moves to a new term may remove entries between the probe
    that proved its position and the read. A new term opens only after the
    leases of the old one have ended, so an answer that arrived while the term
    was held is valid. Otherwise, a probe sent after the answer must show that
    the server is on the branch at or above the bound. An invalid answer is
    discarded and the read is run again.

    Args:
      evidence: The group's evidence.
      server: The server that answered.
      branch: The branch under which the server was selected.
      bound: The position that the read had to reach, if any.
      answered_at: When the answer arrived, in seconds of the monotonic clock.
    """
    if branch != evidence.branch:
        return False
    if answered_at <= evidence.term_held_until:
        return True
    position_after = evidence.bound_after(server, answered_at)
    if position_after is None:
        return False
    return bound is None or position_after.offset >= bound.offset
