"""Execution of writes with a request id and lookup of their records."""

import asyncio
import time

import attrs

from jackdawcrank.backend.answer import (
    ErrorAnswer,
    LostAnswer,
    OkAnswer,
    RowsAnswer,
    ServerAnswer,
)
from jackdawcrank.backend.server_connection import ServerConnection
from jackdawcrank.execution.acknowledger import Acknowledger, ReadVerdict
from jackdawcrank.execution.group_state import GroupState, no_primary
from jackdawcrank.execution.statement_runner import (
    NotStarted,
    StatementRunner,
)
from jackdawcrank_policy.requests import (
    CREATE_TABLE,
    ConnectionLost,
    Executed,
    RequestExecution,
    RequestStep,
    ServerError,
    Statement,
    StatementDone,
    StatementReply,
    digest_statement,
    is_request_id,
)
from jackdawcrank_policy.requests.request_record import (
    INSERT_RECORD,
    SELECT_RECORD,
    RequestRecord,
)
from jackdawcrank_policy.values import Failed, NotRun, NotRunReason, Unknown
from jackdawcrank_wire.messages import StatementRequest

DUPLICATE_KEY = 1062
NO_SUCH_TABLE = 1146
RESOLVE_TIMEOUT_SECONDS = 2.0
RESOLVE_RETRY_SECONDS = 0.1
COMMIT_DIGEST_TEXT = "COMMIT"


def render(statement: Statement) -> str:
    """Return the SQL of a statement with its parameters substituted.

    Strings are not escaped.

    Args:
      statement: The statement. Its string parameters must not contain quotes
        or backslashes.
    """
    if not statement.parameters:
        return statement.sql
    values = tuple(
        str(value) if isinstance(value, int) else f"'{value}'"
        for value in statement.parameters
    )
    return statement.sql % values


def reply_from(answer: ServerAnswer) -> StatementReply:
    """Convert a backend answer to a reply for a request execution.

    Args:
      answer: The answer to convert.
    """
    match answer:
        case OkAnswer():
            return StatementDone(
                affected_rows=answer.affected_rows,
                last_insert_id=answer.last_insert_id,
                position=answer.position,
            )
        case RowsAnswer():
            rows = tuple(_texts(row) for row in answer.rows)
            return StatementDone(rows=rows)
        case ErrorAnswer():
            return ServerError(answer.code, answer.sqlstate, answer.message)
        case LostAnswer():
            return ConnectionLost(answer.detail)


@attrs.frozen
class RecordLookup:
    """The result of a record lookup on the primary of a term.

    Attributes:
      record: The request's record, or None if the branch has none.
      term: The term in which the record was looked up.
    """

    record: RequestRecord | None
    term: int


class RequestRecords:
    """Accesses a group's request records on the primary.

    Attributes:
      state: The state of the group.
      runner: Acquires connections.
      acknowledger: Validates the primary's answers.
    """

    def __init__(
        self,
        state: GroupState,
        runner: StatementRunner,
        acknowledger: Acknowledger,
    ) -> None:
        self.state = state
        self.runner = runner
        self.acknowledger = acknowledger

    async def execute(
        self,
        link: ServerConnection,
        request: StatementRequest,
        implicit_commit: bool,
        deadline: float,
    ) -> Executed | NotRun | Failed | Unknown:
        """Run a write and store its request record on the same connection.

        Args:
          link: A connection to the primary.
          request: The write to run.
          implicit_commit: Whether the statement commits implicitly.
          deadline: The caller's deadline in seconds on the monotonic clock.
        """
        sql = request.sql.decode("utf-8", "surrogateescape")
        execution = RequestExecution(
            request.request_id,
            digest_statement(sql),
            sql,
            int(time.time()),
            implicit_commit,
        )
        link.dirty = True
        step: Statement | Executed | NotRun | Failed | Unknown
        step = execution.start()
        while isinstance(step, Statement):
            remaining = self.runner.remaining(deadline)
            answer = await link.run(render(step), remaining)
            step = execution.on_reply(reply_from(answer))
        if not isinstance(step, Executed):
            link.close()
        return step

    async def insert_for_commit(
        self, link: ServerConnection, request_id: str, deadline: float
    ) -> ServerAnswer:
        """Insert the request record of a COMMIT in its open transaction.

        Args:
          link: The connection of the transaction.
          request_id: The request id of the COMMIT.
          deadline: The caller's deadline in seconds on the monotonic clock.
        """
        digest = digest_statement(COMMIT_DIGEST_TEXT)
        parameters = (request_id, digest, int(time.time()))
        sql = render(_insert(parameters))
        answer = await link.run(sql, self.runner.remaining(deadline))
        missing = isinstance(answer, ErrorAnswer) and (
            answer.code == NO_SUCH_TABLE
        )
        if missing and await self._create_table(link.server, deadline):
            return await link.run(sql, self.runner.remaining(deadline))
        return answer

    async def look_up(
        self, request_id: str, deadline: float
    ) -> RecordLookup | NotRun:
        """Look up the record of a request on the primary of the open term.

        Args:
          request_id: The request id.
          deadline: The caller's deadline in seconds on the monotonic clock.
        """
        if not is_request_id(request_id):
            return NotRun(NotRunReason.BAD_OPTION, "malformed request id")
        while True:
            primary = await self.state.wait_for_primary(deadline)
            if isinstance(primary, NotRun):
                return primary
            answer = await self._select(primary.server, request_id, deadline)
            verdict = await self.acknowledger.read(
                primary.server, primary.term, deadline
            )
            valid = verdict is ReadVerdict.VALID
            if valid and isinstance(answer, RowsAnswer | ErrorAnswer):
                return RecordLookup(_record(answer), primary.term)
            if self.state.clock() >= deadline:
                return no_primary_answered()
            await asyncio.sleep(RESOLVE_RETRY_SECONDS)

    async def resolve(
        self, request_id: str, term: int, deadline: float
    ) -> RecordLookup | None:
        """Determine whether a write was kept after its answer was lost.

        If a later term has no record of the write, the write can no longer be
        committed.

        Args:
          request_id: The request id.
          term: The term in which the write was sent.
          deadline: The caller's deadline in seconds on the monotonic clock.

        Returns:
          The record, or the later term that has none; None if neither was
          found in time.
        """
        until = min(deadline, self.state.clock() + RESOLVE_TIMEOUT_SECONDS)
        while self.state.clock() < until:
            found = await self.look_up(request_id, until)
            if isinstance(found, RecordLookup) and (
                found.record is not None or found.term > term
            ):
                return found
            await asyncio.sleep(RESOLVE_RETRY_SECONDS)
        return None

    async def _select(
        self, server: str, request_id: str, deadline: float
    ) -> ServerAnswer | NotStarted:
        link = await self.runner.acquire(server, (), deadline)
        if isinstance(link, NotStarted):
            return link
        try:
            sql = SELECT_RECORD % f"'{request_id}'"
            return await link.run(sql, self.runner.remaining(deadline))
        finally:
            self.state.pools[server].release(link)

    async def _create_table(self, server: str, deadline: float) -> bool:
        link = await self.runner.acquire(server, (), deadline)
        if isinstance(link, NotStarted):
            return False
        try:
            remaining = self.runner.remaining(deadline)
            answer = await link.run(CREATE_TABLE, remaining)
            return isinstance(answer, OkAnswer)
        finally:
            self.state.pools[server].release(link)


def no_primary_answered() -> NotRun:
    """Return the refusal for a lookup that found no primary in time."""
    return no_primary("no primary answered before the deadline")


def _insert(parameters: tuple[str | int, ...]) -> Statement:
    return Statement(RequestStep.INSERT, INSERT_RECORD, parameters)


def _record(answer: RowsAnswer | ErrorAnswer) -> RequestRecord | None:
    if isinstance(answer, ErrorAnswer) or not answer.rows:
        return None
    return RequestRecord.from_row(_texts(answer.rows[0]))


def _texts(row: tuple[bytes | None, ...]) -> tuple[object, ...]:
    return tuple(v if v is None else v.decode() for v in row)
