"""Comparison of a group's servers with the open term."""

import attrs

from jackdawcrank_policy.values import (
    Branch,
    GroupPhase,
    GroupRow,
    Position,
    ServerReport,
    ServerRole,
)


@attrs.frozen
class Announcement:
    """Announcement of the open term that a server has to receive.

    Attributes:
      server: The server's name.
      term: The open term. The server has to be fenced with it first.
      offset: The log offset at which the term begins.
      primary: The primary of the term.
      divergent_entries: The number of entries in the server's log that are
        not part of the term's branch.
    """

    server: str
    term: int
    offset: int
    primary: str
    divergent_entries: int = 0


def divergent_tail(position: Position, branch: Branch) -> int:
    """Return the number of entries up to a position that are off the branch.

    Args:
      position: The last position of a server's log.
      branch: The branch of the open term.
    """
    if branch.contains(position):
        return 0
    kept = 0
    for start in branch.starts:
        if start.term > position.term:
            kept = start.offset
            break
    return max(0, position.offset - kept)


def required_announcement(
    row: GroupRow, report: ServerReport
) -> Announcement | None:
    """Return the announcement for a server whose report contradicts the row.

    This covers a replaced primary that returns, a replica that restarted, and
    a primary whose coordinator failed before it announced the term. No
    announcement is returned for a primary that is not fenced with the term or
    whose log does not end where the term begins. Such a primary has lost its
    state, and if it were reinstated, it would write different entries at
    positions that the term has already used.

    Args:
      row: The group's newest row.
      report: The server's newest report.
    """
    if row.phase is not GroupPhase.ACTIVE or report.term > row.term:
        return None
    start = row.branch.starts[-1]
    fenced_with_term = report.term == row.term
    if report.server == row.primary:
        state_intact = (
            fenced_with_term and report.position.offset == start.offset
        )
        if report.role is ServerRole.PRIMARY or not state_intact:
            return None
    elif _follows_primary(row, report):
        return None
    return Announcement(
        server=report.server,
        term=row.term,
        offset=start.offset,
        primary=row.primary,
        divergent_entries=divergent_tail(report.position, row.branch),
    )


def _follows_primary(row: GroupRow, report: ServerReport) -> bool:
    """Return whether a server is known to follow the open term's primary.

    A server that was paused may be fenced with the term after the primary was
    announced. The fence alone is therefore no proof that it follows.
    """
    fenced_with_term = (
        report.term == row.term and report.role is ServerRole.REPLICA
    )
    replicates = report.caught_up or report.position.term == row.term
    return (
        fenced_with_term and replicates and row.branch.contains(report.position)
    )
