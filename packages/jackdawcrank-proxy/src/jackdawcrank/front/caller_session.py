"""Session state of one caller connection."""

import asyncio
import itertools
from collections.abc import Callable

import attrs
from mysql_mimic.session import BaseSession
from mysql_mimic.variables import GlobalVariables
from mysql_mimic.variables import SessionVariables as DriverVariables

from jackdawcrank.front.execute_command import encode_sql
from jackdawcrank.front.session_progress import SessionProgress
from jackdawcrank.front.session_variables import SessionVariables
from jackdawcrank.front.statement_router import StatementRouter
from jackdawcrank.front.transaction import Transaction
from jackdawcrank.results import rolled_back_error
from jackdawcrank.results.errors import not_run, not_supported, result_error
from jackdawcrank.statements import Options
from jackdawcrank.statements.options import NO_OPTIONS
from jackdawcrank_policy.values import NotRun, NotRunReason
from jackdawcrank_wire.messages import (
    ResultError,
    ResultOk,
    StatementKind,
    StatementOutcome,
    StatementRequest,
    StatementResult,
)

CONFIGURATION_RETRY_MS = 1000
_GLOBAL_VARIABLES = GlobalVariables()


class CallerSession(BaseSession):
    """Session of one caller, which sends its statements to the router.

    Attributes:
      session_id: An id that is unique across all VMs and restarts.
      router: Runs the session's statements on the home proxies.
      database: The selected database group (the driver's database name).
      username: The authenticated user name; None before login.
      session_variables: The variables that SET statements have changed.
      transaction: The open transaction, if there is one.
      progress: The positions that the session has observed.
      last_insert_id: The key that the last insert generated.
      on_statement_end: Called after each statement.
    """

    def __init__(self, session_id: str, router: StatementRouter) -> None:
        self.session_id = session_id
        self.router = router
        self.variables = DriverVariables(_GLOBAL_VARIABLES)
        self.database: str | None = None
        self.username: str | None = None
        self.session_variables = SessionVariables()
        self.transaction: Transaction | None = None
        self.transaction_numbers = itertools.count(1)
        self.progress = SessionProgress(router)
        self.last_insert_id = 0
        self.running_task: asyncio.Task[object] | None = None
        self.running_may_commit = False
        self.on_statement_end: Callable[[], None] = lambda: None

    @property
    def autocommit(self) -> bool:
        """Return whether each statement commits by itself."""
        return self.session_variables.autocommit

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open."""
        return self.transaction is not None

    async def use_group(self, name: str) -> StatementResult:
        """Select a database group.

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
        """Roll back and reset the state to that of a new connection."""
        await self.end_transaction(StatementKind.ROLLBACK)
        self.session_variables = SessionVariables()
        self.last_insert_id = 0
        self.progress.reset()

    async def close(self) -> None:
        """Roll back the open transaction, if there is one."""
        await self.end_transaction(StatementKind.ROLLBACK)

    def caller_disconnected(self) -> None:
        """Cancel the running statement of a caller that has disconnected.

        An autocommit write or a COMMIT is not cancelled, because the backend
        server may already be executing it.
        """
        if self.running_task is not None and not self.running_may_commit:
            self.running_task.cancel()

    def begin_transaction(self, read_only: bool = False) -> None:
        """Open a transaction.

        The backend server opens it with the transaction's first statement.

        Args:
          read_only: Whether the caller declared that it only reads.
        """
        number = next(self.transaction_numbers)
        transaction_id = f"{self.session_id}/{number}"
        self.transaction = Transaction(transaction_id, read_only=read_only)

    async def end_transaction(
        self, kind: StatementKind, options: Options = NO_OPTIONS
    ) -> StatementResult:
        """End the open transaction, if there is one.

        Args:
          kind: COMMIT or ROLLBACK.
          options: The options of the COMMIT or ROLLBACK statement.
        """
        transaction = self.transaction
        if transaction is None:
            return ResultOk()
        if not transaction.begun or transaction.loss_reason:
            self.transaction = None
            return ResultOk()
        try:
            return await self.send(kind, kind.value.upper(), options)
        finally:
            self.transaction = None

    def discard_lost_transaction(self) -> ResultError | None:
        """Discard a lost transaction and return the error for the caller."""
        transaction = self.transaction
        if transaction is None or not transaction.loss_reason:
            return None
        self.transaction = None
        error = rolled_back_error(transaction.loss_reason)
        return attrs.evolve(error, reason="transaction_lost")

    async def send(
        self, kind: StatementKind, sql: str, options: Options
    ) -> StatementResult:
        """Run a statement on a home proxy of the database group.

        Args:
          kind: What the statement does.
          sql: The statement without its options.
          options: The statement's options.
        """
        group = self.database or ""
        if not self.router.knows_group(group):
            return self._unknown_group(group)
        refusal = self.progress.merge(group, options)
        refusal = refusal or self.progress.check_group_limit(group)
        if refusal is not None:
            return refusal
        request = self._request(kind, sql, options, group)
        if isinstance(request, ResultError):
            return request
        return await self._admit_and_run(request)

    async def fetch_last_read_position(
        self, options: Options
    ) -> ResultError | None:
        """Query the position of the last read and add it to the token.

        Args:
          options: The options of the statement that requests the token.
        """
        group = self.database or ""
        if group not in self.progress.last_reads:
            return None
        position_options = Options(deadline_ms=options.deadline_ms)
        result = await self.send(StatementKind.POSITION, "", position_options)
        if isinstance(result, ResultError):
            return result
        self.progress.last_reads.pop(group, None)
        return None

    async def _admit_and_run(
        self, request: StatementRequest
    ) -> StatementResult:
        user = self.username or ""
        refusal = self.router.admit(user)
        if refusal is not None:
            return result_error(refusal)
        try:
            result = await self._run(request)
        finally:
            self.router.finish(user)
        self._record(request, result)
        return result

    async def _run(self, request: StatementRequest) -> StatementResult:
        writes = request.kind is StatementKind.WRITE
        self.running_may_commit = writes and not request.transaction_id
        self.running_may_commit |= request.kind is StatementKind.COMMIT
        self.running_task = asyncio.current_task()
        try:
            return await self.router.execute(request)
        finally:
            self.running_task = None

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
        last_read = self.progress.last_reads.get(group)
        return StatementRequest(
            group=group,
            sql=encode_sql(sql),
            caller=self.username or "",
            caller_class=self.router.caller_class(self.username or ""),
            session_id=self.session_id,
            transaction_id=transaction.transaction_id if transaction else "",
            token=self.progress.minimum_position(group, options),
            max_age_ms=options.max_age_ms,
            request_id=options.request_id,
            repeatable=options.repeatable is not False,
            deadline_ms=deadline,
            kind=kind,
            last_server=last_read.server if last_read else "",
            last_read_age_ms=last_read.age_ms() if last_read else None,
            last_read_term=last_read.term if last_read else 0,
            setup=self.session_variables.setup,
            begun=transaction is not None and transaction.begun,
        )

    def _record(
        self, request: StatementRequest, result: StatementResult
    ) -> None:
        transaction = self.transaction
        if transaction is not None and request.transaction_id:
            _update_transaction(transaction, result)
        if isinstance(result, ResultOk) and result.last_insert_id:
            self.last_insert_id = result.last_insert_id
        self.progress.record(request.group, result)

    def _unknown_group(self, name: str) -> ResultError:
        if not self.router.is_configured():
            detail = "this proxy has not read its configuration yet"
            return result_error(
                NotRun(NotRunReason.NO_SERVER, detail, CONFIGURATION_RETRY_MS)
            )
        detail = f"no database group {name[:64]!r} is declared"
        return result_error(NotRun(NotRunReason.UNKNOWN_GROUP, detail))


def _update_transaction(
    transaction: Transaction, result: StatementResult
) -> None:
    if result.in_transaction:
        transaction.begun = True
    elif isinstance(result, ResultError):
        was_not_run = result.outcome is StatementOutcome.NOT_RUN
        if transaction.begun or not was_not_run:
            transaction.loss_reason = result.message or "connection lost"
