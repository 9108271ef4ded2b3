"""The state of one caller's connection and the way of its statements."""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable, Mapping

from mysql_mimic.session import BaseSession
from mysql_mimic.variables import GlobalVariables
from mysql_mimic.variables import SessionVariables as DriverVariables

from jackdawcrank.front.execute_command import encode_sql
from jackdawcrank.front.session_variables import SessionVariables
from jackdawcrank.front.statement_router import StatementRouter
from jackdawcrank.front.transaction import Transaction
from jackdawcrank.front.values import single_number, single_text
from jackdawcrank.results.errors import not_run, not_supported, result_error
from jackdawcrank.statements import (
    FrontKind,
    MalformedOption,
    Options,
    Statement,
    classify,
    options_from_attributes,
    parse_set,
    split_options,
)
from jackdawcrank_policy.requests import is_request_id
from jackdawcrank_policy.tokens import ForgedToken, SessionToken
from jackdawcrank_policy.values import (
    Branch,
    NotRun,
    NotRunReason,
    Position,
    TermStart,
)
from jackdawcrank_wire.messages import (
    ResultError,
    ResultOk,
    ResultRows,
    StatementKind,
    StatementOutcome,
    StatementRequest,
    StatementResult,
)

ROLLED_BACK_CODE = 1213
ROLLED_BACK_STATE = "40001"
CONFIGURATION_RETRY_MS = 1000
_GLOBAL_VARIABLES = GlobalVariables()

Handler = Callable[
    ["CallerSession", Statement, str, Options], Awaitable[StatementResult]
]


class CallerSession(BaseSession):
    """One caller's session.

    Attributes:
      session_id: An id that is unique over all VMs and restarts.
      database: The database group, as the driver calls it.
      username: The user name once logged in, else None.
      transaction: The open transaction, if there is one.
      token: What the session has seen.
      last_insert_id: The key that the last insert generated.
      on_boundary: Called after each statement.
    """

    def __init__(self, session_id: str, router: StatementRouter) -> None:
        self.session_id = session_id
        self.router = router
        self.variables = DriverVariables(_GLOBAL_VARIABLES)
        self.database: str | None = None
        self.username: str | None = None
        self.own = SessionVariables()
        self.transaction: Transaction | None = None
        self.transaction_numbers = itertools.count(1)
        self.token = SessionToken()
        self.last_insert_id = 0
        self.last_reads: dict[str, tuple[str, float, int]] = {}
        self.running: asyncio.Task[object] | None = None
        self.running_writes = False
        self.on_boundary: Callable[[], None] = lambda: None

    @property
    def autocommit(self) -> bool:
        """Return whether each statement commits by itself."""
        return self.own.autocommit

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open."""
        return self.transaction is not None

    async def handle(
        self, sql: str, attributes: Mapping[str, str]
    ) -> StatementResult:
        """Run a statement of the caller.

        Args:
          sql: The statement as the caller sent it.
          attributes: The statement's query attributes.
        """
        split = split_options(sql)
        if isinstance(split, MalformedOption):
            return self._bad_option(split)
        given = options_from_attributes(attributes)
        if isinstance(given, MalformedOption):
            return self._bad_option(given)
        options = given.over(split.options).over(self.own.defaults)
        statement = classify(split.sql)
        try:
            return await self._dispatch(statement, split.sql, options)
        finally:
            self.on_boundary()

    async def use_group(self, name: str) -> StatementResult:
        """Change the database group.

        Args:
          name: The group's name.
        """
        if self.transaction is not None:
            return not_supported("a change of database in a transaction")
        if not self.router.knows_group(name):
            return self._unknown_group(name)
        self.database = name
        return ResultOk()

    async def reset(self) -> None:
        """Roll back and forget variables, as for a new connection."""
        await self._end_transaction(StatementKind.ROLLBACK, Options())
        self.own = SessionVariables()
        self.last_insert_id = 0
        self.token = SessionToken()
        self.last_reads.clear()

    async def close(self) -> None:
        """Roll back what the caller left open."""
        await self._end_transaction(StatementKind.ROLLBACK, Options())

    def caller_vanished(self) -> None:
        """Stop what runs for a caller that has gone.

        A write that commits by itself is let run, since it may be under way.
        """
        if self.running is not None and not self.running_writes:
            self.running.cancel()

    async def _dispatch(
        self, statement: Statement, sql: str, options: Options
    ) -> StatementResult:
        handler = _HANDLERS[statement.kind]
        return await handler(self, statement, sql, options)

    async def _run_data(
        self, statement: Statement, sql: str, options: Options
    ) -> StatementResult:
        broken = self._broken_transaction()
        if broken is not None:
            return broken
        if self.transaction is None and not self.autocommit:
            self.transaction = self._new_transaction()
        if statement.stateful and self.transaction is None:
            return not_supported("session state outside a transaction")
        is_read = statement.kind is FrontKind.READ
        kind = StatementKind.READ if is_read else StatementKind.WRITE
        if self.transaction is None and is_read and not self.database:
            return await self._without_group(sql)
        return await self._send(kind, sql, options)

    async def _run_schema_change(
        self, statement: Statement, sql: str, options: Options
    ) -> StatementResult:
        if statement.stateful:
            return await self._run_data(statement, sql, options)
        ended = await self._end_transaction(StatementKind.COMMIT, Options())
        if isinstance(ended, ResultError):
            return ended
        return await self._send(StatementKind.WRITE, sql, options)

    async def _begin(
        self, statement: Statement, sql: str, options: Options
    ) -> StatementResult:
        ended = await self._end_transaction(StatementKind.COMMIT, Options())
        if isinstance(ended, ResultError):
            return ended
        self.transaction = self._new_transaction()
        self.transaction.read_only = "read only" in sql.lower()
        return ResultOk(in_transaction=True)

    async def _commit(
        self, statement: Statement, sql: str, options: Options
    ) -> StatementResult:
        broken = self._broken_transaction()
        if broken is not None:
            return broken
        return await self._end_transaction(StatementKind.COMMIT, options)

    async def _roll_back(
        self, statement: Statement, sql: str, options: Options
    ) -> StatementResult:
        return await self._end_transaction(StatementKind.ROLLBACK, options)

    async def _set(
        self, statement: Statement, sql: str, options: Options
    ) -> StatementResult:
        items = parse_set(sql)
        if items is None:
            return not_supported("this form of SET")
        was_autocommit = self.autocommit
        for item in items:
            refusal = self.own.assign(item)
            if refusal is not None:
                return refusal
        if self.autocommit and not was_autocommit:
            return await self._end_transaction(StatementKind.COMMIT, options)
        return ResultOk()

    async def _use(
        self, statement: Statement, sql: str, options: Options
    ) -> StatementResult:
        return await self.use_group(statement.argument)

    async def _show_request(
        self, statement: Statement, sql: str, options: Options
    ) -> StatementResult:
        if not is_request_id(statement.argument):
            return not_run("bad_option", "malformed request id", 1210)
        asked = Options(
            request_id=statement.argument, deadline_ms=options.deadline_ms
        )
        return await self._send(StatementKind.SHOW_REQUEST, sql, asked)

    async def _show_warnings(
        self, statement: Statement, sql: str, options: Options
    ) -> StatementResult:
        # Warnings stay with the pooled backend connection.
        return single_text(("Level", "Code", "Message"), ())

    async def _session_token(
        self, statement: Statement, sql: str, options: Options
    ) -> StatementResult:
        merged = self._merge_given_token(options)
        if isinstance(merged, ResultError):
            return merged
        if self.database in self.last_reads:
            settled = await self._settle_last_read(options)
            if isinstance(settled, ResultError):
                return settled
        text = self.router.sign(self.token)
        return single_text(("@@session_token",), ((text,),))

    async def _last_insert_id(
        self, statement: Statement, sql: str, options: Options
    ) -> StatementResult:
        return single_number("last_insert_id()", self.last_insert_id)

    async def _connection_id(
        self, statement: Statement, sql: str, options: Options
    ) -> StatementResult:
        number = int(self.session_id.rpartition("-")[2])
        return single_number("connection_id()", number)

    async def _empty(
        self, statement: Statement, sql: str, options: Options
    ) -> StatementResult:
        return not_run("not_supported", "Query was empty", 1065, "42000")

    async def _multiple(
        self, statement: Statement, sql: str, options: Options
    ) -> StatementResult:
        return not_supported("more than one statement at once")

    async def _unsupported(
        self, statement: Statement, sql: str, options: Options
    ) -> StatementResult:
        return not_supported("this statement")

    async def _without_group(self, sql: str) -> StatementResult:
        return not_run("unknown_group", "No database selected", 1046, "3D000")

    async def _end_transaction(
        self, kind: StatementKind, options: Options
    ) -> StatementResult:
        transaction = self.transaction
        if transaction is None:
            return ResultOk()
        if not transaction.begun or transaction.broken:
            self.transaction = None
            return ResultOk()
        try:
            return await self._send(kind, kind.value.upper(), options)
        finally:
            self.transaction = None

    def _new_transaction(self) -> Transaction:
        number = next(self.transaction_numbers)
        return Transaction(f"{self.session_id}/{number}")

    def _broken_transaction(self) -> ResultError | None:
        transaction = self.transaction
        if transaction is None or not transaction.broken:
            return None
        self.transaction = None
        return _rolled_back(transaction.broken)

    async def _send(
        self, kind: StatementKind, sql: str, options: Options
    ) -> StatementResult:
        group = self.database or ""
        if not self.router.knows_group(group):
            return self._unknown_group(group)
        merged = self._merge_given_token(options)
        if isinstance(merged, ResultError):
            return merged
        if not self.token.has_room(group):
            return not_run("bad_option", "the session has too many groups")
        request = self._request(kind, sql, options, group)
        if isinstance(request, ResultError):
            return request
        return await self._admitted(request)

    async def _admitted(self, request: StatementRequest) -> StatementResult:
        user = self.username or ""
        refusal = self.router.admit(user)
        if refusal is not None:
            return result_error(refusal)
        try:
            result = await self._run(request)
        finally:
            self.router.finish(user)
        self._take_in(request, result)
        return result

    async def _run(self, request: StatementRequest) -> StatementResult:
        writes = request.kind is StatementKind.WRITE
        self.running_writes = writes and not request.transaction_id
        self.running_writes |= request.kind is StatementKind.COMMIT
        self.running = asyncio.current_task()
        try:
            return await self.router.execute(request)
        finally:
            self.running = None

    def _request(
        self, kind: StatementKind, sql: str, options: Options, group: str
    ) -> StatementRequest | ResultError:
        limit = self.router.statement_timeout_ms(group)
        deadline = min(limit, options.deadline_ms or limit)
        transaction = self.transaction
        is_write = kind is StatementKind.WRITE
        if options.request_id and transaction is not None and is_write:
            detail = "a request_id belongs to COMMIT in a transaction"
            return not_run("bad_option", detail, 1210)
        server, ended_at, term = self.last_reads.get(group, ("", 0.0, 0))
        age_ms = int((time.monotonic() - ended_at) * 1000) if server else None
        return StatementRequest(
            group=group,
            sql=encode_sql(sql),
            caller=self.username or "",
            caller_class=self.router.caller_class(self.username or ""),
            session_id=self.session_id,
            transaction_id=transaction.transaction_id if transaction else "",
            token=self._bound(group, options),
            max_age_ms=options.max_age_ms,
            request_id=options.request_id,
            repeatable=options.repeatable is not False,
            deadline_ms=deadline,
            kind=kind,
            last_server=server,
            last_read_age_ms=age_ms,
            last_read_term=term,
            setup=self.own.setup,
        )

    def _bound(self, group: str, options: Options) -> str:
        position = self.token.position(group)
        if position is None:
            # A stated but empty token still asks for replicas.
            return "0:0" if options.session else ""
        if not options.session and options.max_age_ms is None:
            return ""
        return str(position)

    def _take_in(
        self, request: StatementRequest, result: StatementResult
    ) -> None:
        transaction = self.transaction
        if transaction is not None and request.transaction_id:
            self._follow_transaction(transaction, request, result)
        if isinstance(result, ResultError):
            self._take_in_loss(request.group, result)
        elif isinstance(result, ResultOk):
            self._take_in_ok(request.group, result)
        elif isinstance(result, ResultRows) and result.server:
            read = (result.server, time.monotonic(), result.term)
            self.last_reads[request.group] = read

    def _take_in_ok(self, group: str, result: ResultOk) -> None:
        if result.last_insert_id:
            self.last_insert_id = result.last_insert_id
        if result.position is not None:
            self._advance(group, result.position)

    def _take_in_loss(self, group: str, result: ResultError) -> None:
        """Begin anew once the caller was told that something was lost."""
        if result.reason == NotRunReason.WRITE_LOST.value:
            self.last_reads.pop(group, None)
            self.token = self.token.without(group)

    def _follow_transaction(
        self,
        transaction: Transaction,
        request: StatementRequest,
        result: StatementResult,
    ) -> None:
        if result.in_transaction:
            transaction.begun = True
        elif isinstance(result, ResultError):
            not_run_yet = result.outcome is StatementOutcome.NOT_RUN
            if transaction.begun or not not_run_yet:
                transaction.broken = result.message or "connection lost"

    def _advance(self, group: str, position: Position) -> None:
        """Hold the session to a position from now on.

        A position of a term that the configuration does not know here yet is
        taken as the first of its term.
        """
        branch = self.router.branch(group)
        seen = self.token.position(group)
        for newer in sorted(p for p in (seen, position) if p is not None):
            if newer.term > branch.term:
                start = TermStart(newer.term, max(0, newer.offset - 1))
                branch = Branch((*branch.starts, start))
        self.token = self.token.advanced(group, position, branch)

    def _merge_given_token(self, options: Options) -> ResultError | None:
        if not options.session:
            return None
        given = self.router.verify(options.session)
        if isinstance(given, ForgedToken):
            return not_run("bad_option", f"session: {given.detail}", 1210)
        group = self.database or ""
        if not self.token.has_room(group):
            return not_run("bad_option", "the session has too many groups")
        position = given.position(group)
        if position is not None:
            self._advance(group, position)
        return None

    async def _settle_last_read(self, options: Options) -> ResultError | None:
        group = self.database or ""
        asked = Options(deadline_ms=options.deadline_ms)
        result = await self._send(StatementKind.POSITION, "", asked)
        if isinstance(result, ResultError):
            return result
        self.last_reads.pop(group, None)
        return None

    def _unknown_group(self, name: str) -> ResultError:
        if not self.router.is_configured():
            detail = "this proxy has not read its configuration yet"
            return result_error(
                NotRun(NotRunReason.NO_SERVER, detail, CONFIGURATION_RETRY_MS)
            )
        detail = f"no database group {name[:64]!r} is declared"
        return result_error(NotRun(NotRunReason.UNKNOWN_GROUP, detail))

    def _bad_option(self, malformed: MalformedOption) -> ResultError:
        refusal = NotRun(NotRunReason.BAD_OPTION, malformed.detail)
        return result_error(refusal)


_HANDLERS: dict[FrontKind, Handler] = {
    FrontKind.READ: CallerSession._run_data,
    FrontKind.WRITE: CallerSession._run_data,
    FrontKind.IMPLICIT_COMMIT: CallerSession._run_schema_change,
    FrontKind.BEGIN: CallerSession._begin,
    FrontKind.COMMIT: CallerSession._commit,
    FrontKind.ROLLBACK: CallerSession._roll_back,
    FrontKind.SET: CallerSession._set,
    FrontKind.USE: CallerSession._use,
    FrontKind.SHOW_REQUEST: CallerSession._show_request,
    FrontKind.SHOW_WARNINGS: CallerSession._show_warnings,
    FrontKind.SESSION_TOKEN: CallerSession._session_token,
    FrontKind.LAST_INSERT_ID: CallerSession._last_insert_id,
    FrontKind.CONNECTION_ID: CallerSession._connection_id,
    FrontKind.EMPTY: CallerSession._empty,
    FrontKind.MULTIPLE: CallerSession._multiple,
    FrontKind.UNSUPPORTED: CallerSession._unsupported,
}


def _rolled_back(detail: str) -> ResultError:
    return ResultError(
        StatementOutcome.FAILED,
        "transaction_lost",
        ROLLED_BACK_CODE,
        ROLLED_BACK_STATE,
        f"the transaction was rolled back: {detail}",
    )
