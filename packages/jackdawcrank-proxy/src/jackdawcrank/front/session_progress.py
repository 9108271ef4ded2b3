"""Positions that a caller's session has observed."""

import time

import attrs

from jackdawcrank.front.statement_router import StatementRouter
from jackdawcrank.results.errors import not_run
from jackdawcrank.statements import Options
from jackdawcrank_policy.tokens import InvalidToken, SessionToken
from jackdawcrank_policy.values import (
    Branch,
    NotRunReason,
    Position,
    TermStart,
)
from jackdawcrank_wire.messages import (
    ResultError,
    ResultOk,
    ResultRows,
    StatementResult,
)


@attrs.frozen
class LastRead:
    """Most recent read of a database group.

    Attributes:
      server: The backend server that answered.
      ended_at: When the answer arrived, in seconds of the monotonic clock.
      term: The term in which the read ran.
    """

    server: str
    ended_at: float
    term: int

    def age_ms(self) -> int:
        """Return the time since the answer, in milliseconds."""
        return int((time.monotonic() - self.ended_at) * 1000)


@attrs.define(eq=False)
class SessionProgress:
    """Tracks positions so that a session's reads are monotonic.

    Attributes:
      router: Verifies tokens and provides the groups' branches.
      token: The newest position that the session has observed, by group.
      last_reads: The most recent read of each group whose position has not
        been added to the token.
    """

    router: StatementRouter
    token: SessionToken = attrs.Factory(SessionToken)
    last_reads: dict[str, LastRead] = attrs.Factory(dict)

    def reset(self) -> None:
        """Reset the state to that of a new connection."""
        self.token = SessionToken()
        self.last_reads.clear()

    def check_group_limit(self, group: str) -> ResultError | None:
        """Return an error if the token cannot hold another group.

        Args:
          group: The database group.
        """
        if self.token.has_room(group):
            return None
        return not_run("bad_option", "the session has too many groups")

    def minimum_position(self, group: str, options: Options) -> str:
        """Return the minimum position for a read as text, or an empty string.

        Args:
          group: The database group.
          options: The read's options.
        """
        position = self.token.position(group)
        if position is None:
            # An explicit empty token still selects replicas for the read.
            return "0:0" if options.session else ""
        if not options.session and options.max_age_ms is None:
            return ""
        return str(position)

    def merge(self, group: str, options: Options) -> ResultError | None:
        """Merge the session token of a statement into the session.

        Returns an error if the token is invalid or has no room.

        Args:
          group: The database group.
          options: The statement's options.
        """
        if not options.session:
            return None
        stated_token = self.router.verify(options.session)
        if isinstance(stated_token, InvalidToken):
            return not_run(
                "bad_option", f"session: {stated_token.detail}", 1210
            )
        refusal = self.check_group_limit(group)
        if refusal is not None:
            return refusal
        position = stated_token.position(group)
        if position is not None:
            self.advance(group, position)
        return None

    def record(self, group: str, result: StatementResult) -> None:
        """Update the observed positions from a statement's result.

        Args:
          group: The database group.
          result: The statement's result.
        """
        if isinstance(result, ResultError):
            self._record_lost_write(group, result)
        elif isinstance(result, ResultOk):
            if result.position is not None:
                self.advance(group, result.position)
        elif isinstance(result, ResultRows) and result.server:
            now = time.monotonic()
            self.last_reads[group] = LastRead(result.server, now, result.term)

    def advance(self, group: str, position: Position) -> None:
        """Require later reads to include a position.

        If this proxy's configuration does not contain the position's term yet,
        the position counts as the first of that term.

        Args:
          group: The database group.
          position: The position.
        """
        branch = self.router.branch(group)
        seen = self.token.position(group)
        for newer in sorted(p for p in (seen, position) if p is not None):
            if newer.term > branch.term:
                start = TermStart(newer.term, max(0, newer.offset - 1))
                branch = Branch((*branch.starts, start))
        self.token = self.token.advanced(group, position, branch)

    def _record_lost_write(self, group: str, result: ResultError) -> None:
        """Discard the observed position that the error reports as lost.

        If the group has a pending last read, only that read is discarded. A
        lost write of the session is then reported when the next read is
        refused.
        """
        if result.reason != NotRunReason.WRITE_LOST.value:
            return
        if self.last_reads.pop(group, None) is None:
            self.token = self.token.without(group)
