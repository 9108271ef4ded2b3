"""Keeping a group's servers in line with the open term."""

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
    """What a server has to be told.

    Attributes:
      server: The server's name.
      term: The open term; the server is fenced with it first.
      offset: Where the term began.
      primary: The primary of the term.
      divergent_entries: Entries of the server's log that the term dropped.
    """

    server: str
    term: int
    offset: int
    primary: str
    divergent_entries: int = 0


def divergent_tail(position: Position, branch: Branch) -> int:
    """Return how many entries up to a position the branch does not hold.

    Args:
      position: The end of a server's log.
      branch: The branch of the open term.
    """
    if branch.keeps(position):
        return 0
    kept = 0
    for start in branch.starts:
        if start.term > position.term:
            kept = start.offset
            break
    return max(0, position.offset - kept)


def alignment(row: GroupRow, report: ServerReport) -> Announcement | None:
    """Return what to tell a server whose report is not as the row says.

    Covers a replaced primary that returns, a server that restarted, and a
    primary whose coordinator died before it announced the term.

    Args:
      row: The group's newest row.
      report: The server's newest report.
    """
    if row.phase is not GroupPhase.ACTIVE or report.term > row.term:
        return None
    is_primary = report.server == row.primary
    role = ServerRole.PRIMARY if is_primary else ServerRole.REPLICA
    in_term = report.term == row.term and report.role is role
    if in_term and (is_primary or row.branch.keeps(report.position)):
        return None
    start = row.branch.starts[-1]
    return Announcement(
        server=report.server,
        term=row.term,
        offset=start.offset,
        primary=row.primary,
        divergent_entries=divergent_tail(report.position, row.branch),
    )
