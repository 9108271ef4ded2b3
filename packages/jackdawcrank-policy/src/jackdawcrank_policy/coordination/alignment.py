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
    if branch.contains(position):
        return 0
    kept = 0
    for start in branch.starts:
        if start.term > position.term:
            kept = start.offset
            break
    return max(0, position.offset - kept)


def alignment(row: GroupRow, report: ServerReport) -> Announcement | None:
    """Return what to tell a server whose report is not as the row says.

    Covers a replaced primary that returns, a replica that restarted, and a
    primary whose coordinator died before it announced the term. A primary
    that does not hold the term's fence, or whose log does not end where the
    term began, has lost its state and is never put into office again: it
    would write other entries at positions that the term has used.

    Args:
      row: The group's newest row.
      report: The server's newest report.
    """
    if row.phase is not GroupPhase.ACTIVE or report.term > row.term:
        return None
    start = row.branch.starts[-1]
    in_term = report.term == row.term
    if report.server == row.primary:
        fits = in_term and report.position.offset == start.offset
        if report.role is ServerRole.PRIMARY or not fits:
            return None
    elif _follows(row, report):
        return None
    return Announcement(
        server=report.server,
        term=row.term,
        offset=start.offset,
        primary=row.primary,
        divergent_entries=divergent_tail(report.position, row.branch),
    )


def _follows(row: GroupRow, report: ServerReport) -> bool:
    """Return whether a server surely follows the open term's primary.

    A server that was paused may be fenced with the term after its primary was
    named, so the fence alone does not show that it follows.
    """
    in_term = report.term == row.term and report.role is ServerRole.REPLICA
    pulls = report.caught_up or report.position.term == row.term
    return in_term and pulls and row.branch.contains(report.position)
