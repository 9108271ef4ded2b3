"""Execution of single statements on a backend server."""

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
ACQUIRE_TIMEOUT_SECONDS = 2.5


@attrs.frozen
class NotStarted:
    """The statement was not run: no byte of it was sent.

    Attributes:
      detail: A human-readable reason.
    """

    detail: str


class StatementRunner:
    """Runs statements on pooled connections.

    Attributes:
      state: The state of the group.
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
          server: The name of the server.
          request: The statement with its options.
          deadline: The caller's deadline in seconds on the monotonic clock.
          term: The term in which the server was selected as primary, or None
            for a read on a replica. The connection is closed if a later term
            opens while the statement runs.
        """
        link = await self.acquire(server, request.setup, deadline)
        if isinstance(link, NotStarted):
            return link
        if term is not None and not self.is_current_primary(server, term):
            self.state.pools[server].release(link)
            return NotStarted(
                "the primary changed before the statement was sent"
            )
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
        """Acquire a connection and set its session variables.

        Args:
          server: The name of the server.
          setup: The statements that set session variables.
          deadline: The caller's deadline in seconds on the monotonic clock.
        """
        pool = self.state.pools[server]
        timeout = min(ACQUIRE_TIMEOUT_SECONDS, self.remaining(deadline))
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
        """Set session variables; return the error, or an empty string."""
        for statement in setup:
            link.dirty = True
            answer = await link.run(statement, SETUP_TIMEOUT_SECONDS)
            if isinstance(answer, ErrorAnswer | LostAnswer):
                return f"{statement}: {answer}"
        return ""

    def is_current_primary(self, server: str, term: int) -> bool:
        """Return whether a server is still the primary of an open term.

        Acquiring a connection may take long, so the primary must be checked
        again before anything is sent.

        Args:
          server: The name of the server.
          term: The term in which it was selected as primary.
        """
        return self.state.primary() == OpenPrimary(server, term)

    def remaining(self, deadline: float) -> float:
        """Return the time that a statement has left, in seconds.

        Args:
          deadline: The caller's deadline in seconds on the monotonic clock.
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
        """Update load and evidence of a server from an answer or its loss."""
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
