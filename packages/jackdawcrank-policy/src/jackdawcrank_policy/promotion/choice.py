"""The choice of the next primary and of where its term begins."""

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

    A server whose log left the branch cannot lead. Among equals, the target
    comes first, servers to avoid come last and names decide.

    Args:
      reports: The reports of the fenced servers, from after their fences.
      branch: The branch of the last open term; an empty one takes any log.
      avoid: Servers that are not preferred among equals.
      target: The server that is preferred among equals.
    """
    candidates = [one for one in reports if _is_on(branch, one.position)]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda one: (
            -one.position.offset,
            one.server != target,
            one.server in avoid,
            one.server,
        ),
    )


def extend_branch(branch: Branch, term: int, offset: int) -> Branch:
    """Return the branch with a term that begins at an offset.

    Earlier terms that began above the offset kept no entries; their starts
    move down to it, so that no lost entry is taken for a kept one.

    Args:
      branch: The branch of the last open term.
      term: The new term.
      offset: The last entry that the new term keeps.
    """
    clamped = tuple(
        attrs.evolve(start, offset=min(start.offset, offset))
        for start in branch.starts
    )
    return Branch(clamped).extended(TermStart(term, offset))


def _is_on(branch: Branch, position: Position) -> bool:
    return not branch.starts or branch.contains(position)
