"""Runs one statement outside a transaction on one server."""

import attrs

from jackdawcrank.backend.answer import (
    ErrorAnswer,
    LostAnswer,
    OkAnswer,
    ServerAnswer,
)
from jackdawcrank.backend.server_connection import ServerConnection
from jackdawcrank.execution.group_state import GroupState
from jackdawcrank.execution.open_primary import OpenPrimary
from jackdawcrank_policy.routing import ServerLoad
from jackdawcrank_wire.messages import StatementRequest

SETUP_TIMEOUT_SECONDS = 1.0
ACQUIRE_SECONDS = 2.5


@attrs.frozen
class NotStarted:
    """No byte of the statement was sent.

    Attributes:
      detail: A sentence for people.
    """

    detail: str


class StatementRunner:
    """Takes a connection, prepares it, runs a statement, gives it back.

    Attributes:
      state: The group.
    """

    def __init__(self, state: GroupState) -> None:
        self.state = state

    async def run(
        self,
        server: str,
        request: StatementRequest,
        deadline: float,
        term: int | None = None,
    ) -> ServerAnswer | NotStarted:
        """Run a request's statement on a server.

        Args:
          server: The server's name.
          request: The statement with its options.
          deadline: When the caller gives up, on the monotonic clock.
          term: The term of the server if it is chosen as primary; the
            statement is abandoned once a later term is open.
        """
        link = await self.acquire(server, request.setup, deadline)
        if isinstance(link, NotStarted):
            return link
        if term is not None and not self.still_open(server, term):
            self.state.pools[server].release(link)
            return NotStarted("the primary was moved meanwhile")
        load = self.state.table.loads.get(server)
        started = self.state.clock()
        answer: ServerAnswer = LostAnswer(True, "cancelled")
        if load is not None:
            load.start()
        try:
            if term is not None:
                self.state.link_started(link, term)
            answer = await link.run(request.sql, self.remaining(deadline))
            return answer
        finally:
            self.state.link_finished(link)
            self.state.pools[server].release(link)
            if load is not None:
                self._observe(server, load, answer, started)

    async def acquire(
        self, server: str, setup: tuple[str, ...], deadline: float
    ) -> ServerConnection | NotStarted:
        """Return a prepared connection to a server.

        Args:
          server: The server's name.
          setup: Statements that set session variables.
          deadline: When the caller gives up, on the monotonic clock.
        """
        pool = self.state.pools[server]
        timeout = min(ACQUIRE_SECONDS, self.remaining(deadline))
        link = await pool.acquire(timeout)
        if not isinstance(link, ServerConnection):
            self._count_failure(server)
            return NotStarted(link.detail)
        refusal = "cancelled"
        try:
            refusal = await self._set_up(link, setup)
        finally:
            if refusal:
                pool.release(link)
        return NotStarted(refusal) if refusal else link

    async def _set_up(
        self, link: ServerConnection, setup: tuple[str, ...]
    ) -> str:
        """Set session variables; return why that failed, or nothing."""
        for statement in setup:
            link.dirty = True
            answer = await link.run(statement, SETUP_TIMEOUT_SECONDS)
            if isinstance(answer, ErrorAnswer | LostAnswer):
                return f"{statement}: {answer}"
        return ""

    def still_open(self, server: str, term: int) -> bool:
        """Return whether a server is still the primary that may get work.

        Getting a connection may take long, so what was true before it has to
        be asked again before anything is sent.

        Args:
          server: The server's name.
          term: The term under which it was chosen.
        """
        return self.state.primary() == OpenPrimary(server, term)

    def remaining(self, deadline: float) -> float:
        """Return the seconds that a statement may still take.

        Args:
          deadline: When the caller gives up, on the monotonic clock.
        """
        limit = self.state.spec.statement_timeout_ms / 1000
        return max(0.001, min(limit, deadline - self.state.clock()))

    def _observe(
        self,
        server: str,
        load: ServerLoad,
        answer: ServerAnswer,
        started: float,
    ) -> None:
        """Take an answer, or its loss, as evidence on the server."""
        now = self.state.clock()
        lost = isinstance(answer, LostAnswer)
        load.finish(now - started, lost, now)
        if lost:
            self.state.on_silence(server)
            return
        self.state.on_answer(server, started, now)
        if isinstance(answer, OkAnswer) and answer.position is not None:
            evidence = self.state.table.evidence
            evidence.observe_write(answer.position, started)

    def _count_failure(self, server: str) -> None:
        self.state.on_silence(server)
        load = self.state.table.loads.get(server)
        if load is not None:
            load.start()
            load.finish(0.0, True, self.state.clock())
