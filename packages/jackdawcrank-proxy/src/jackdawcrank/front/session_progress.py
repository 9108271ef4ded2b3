"""What a caller's session has seen of the database groups."""

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
    """The newest read of a group.

    Attributes:
      server: The server that answered.
      ended_at: When its answer arrived, on the monotonic clock.
      term: The term in which it ran.
    """

    server: str
    ended_at: float
    term: int

    def age_ms(self) -> int:
        """Return the time since the answer, in milliseconds."""
        return int((time.monotonic() - self.ended_at) * 1000)


@attrs.define(eq=False)
class SessionProgress:
    """Keeps a session's reads from going back in time.

    Attributes:
      router: Signs tokens and knows the groups' branches.
      token: The position of each group that the session has seen.
      last_reads: The newest read of each group whose position is not settled.
    """

    router: StatementRouter
    token: SessionToken = attrs.Factory(SessionToken)
    last_reads: dict[str, LastRead] = attrs.Factory(dict)

    def forget(self) -> None:
        """Begin anew, as for a new connection."""
        self.token = SessionToken()
        self.last_reads.clear()

    def check_group_limit(self, group: str) -> ResultError | None:
        """Refuse a group for which the token has no room.

        Args:
          group: The database group.
        """
        if self.token.has_room(group):
            return None
        return not_run("bad_option", "the session has too many groups")

    def minimum_position(self, group: str, options: Options) -> str:
        """Return the position that a read has to see, as text, or nothing.

        Args:
          group: The database group.
          options: The read's options.
        """
        position = self.token.position(group)
        if position is None:
            # A stated but empty token still asks for replicas.
            return "0:0" if options.session else ""
        if not options.session and options.max_age_ms is None:
            return ""
        return str(position)

    def merge(self, group: str, options: Options) -> ResultError | None:
        """Take over the token that a statement states, or refuse it.

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
        """Record what a statement's result has shown to the session.

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
        """Hold the session to a position from now on.

        A position of a term that the configuration does not know here yet is
        taken as the first of its term.

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
        """Begin anew with what the caller was told is lost.

        The loss of a read may come first; a lost write of the session is
        then told of by the refusal of the next read.
        """
        if result.reason != NotRunReason.WRITE_LOST.value:
            return
        if self.last_reads.pop(group, None) is None:
            self.token = self.token.without(group)
