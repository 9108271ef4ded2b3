"""Whether a read's answer may be given to the caller."""

from jackdawcrank_policy.freshness.evidence import Evidence
from jackdawcrank_policy.values import Branch, Position


def answer_is_valid(
    evidence: Evidence,
    server: str,
    branch: Branch,
    bound: Position | None,
    answered_at: float,
) -> bool:
    """Return whether an answer came from a server still on the branch.

    Between the probe that proved a position and the read, a server that is
    moved to a new term may have removed entries. A new term opens only after
    the old one's leases, so an answer that came while the term was held is
    good. Without the lease it takes a probe sent after the answer that shows
    the bound on the branch. An answer that does not stand is dropped and the
    read runs again.

    Args:
      evidence: The group's evidence.
      server: The server that answered.
      branch: The branch under which the server was chosen.
      bound: The position that the read had to reach, if any.
      answered_at: When the answer came.
    """
    if branch != evidence.branch:
        return False
    if answered_at <= evidence.term_held_until:
        return True
    position_after = evidence.bound_after(server, answered_at)
    if position_after is None:
        return False
    return bound is None or position_after.offset >= bound.offset
