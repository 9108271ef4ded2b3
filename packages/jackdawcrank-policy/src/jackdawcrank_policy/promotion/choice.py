"""Selection of the next primary and of the offset where its term begins."""

from collections.abc import Iterable

import attrs

from jackdawcrank_policy.values import (
    Branch,
    Position,
    ServerReport,
    TermStart,
)


def choose_primary(
    reports: Iterable[ServerReport],
    branch: Branch,
    avoid: frozenset[str] = frozenset(),
    target: str | None = None,
) -> ServerReport | None:
    """Return the report of the most advanced fenced server, or None.

    A server whose log has diverged from the branch cannot become primary.
    Between equally advanced servers, the target is preferred, servers to
    avoid come last, and the remaining ties are broken by name.

    Args:
      reports: The reports that the fenced servers gave after their fencing.
      branch: The branch of the last open term. An empty branch accepts any
        log.
      avoid: Servers that rank last among equally advanced ones.
      target: The server that ranks first among equally advanced ones.
    """
    candidates = [
        report for report in reports if _is_on(branch, report.position)
    ]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda report: (
            -report.position.offset,
            report.server != target,
            report.server in avoid,
            report.server,
        ),
    )


def extend_branch(branch: Branch, term: int, offset: int) -> Branch:
    """Return the branch extended by a term that begins at an offset.

    The new term keeps no entries of earlier terms that began above the
    offset. The starts of those terms are lowered to the offset, so that
    `Branch.keeps` does not report a lost entry as kept.

    Args:
      branch: The branch of the last open term.
      term: The new term.
      offset: The offset of the last entry that the new term keeps.
    """
    clamped = tuple(
        attrs.evolve(start, offset=min(start.offset, offset))
        for start in branch.starts
    )
    return Branch(clamped).extended(TermStart(term, offset))


def _is_on(branch: Branch, position: Position) -> bool:
    return not branch.starts or branch.contains(position)
