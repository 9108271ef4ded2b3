"""Session of one caller connection."""

import asyncio
import functools

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.account_authority import AccountAuthority, KeyRefusal
from jackdawcrank.relay.execution import Execution
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.relay.resolver import Resolver
from jackdawcrank.relay.transaction_view import Runner, Transaction
from jackdawcrank.seams.replies import Problem, Reply, SessionState
from jackdawcrank.seams.statements import (
    Begin,
    Commit,
    DataStatement,
    DeallocatePrepared,
    DefinePrepared,
    ExecutePrepared,
    InvalidStatement,
    Rollback,
    SetSessionValue,
    Statement,
)
from jackdawcrank_policy.catalog import DatabaseSpec
from jackdawcrank_policy.sessions import PreparedStatement, SessionContext
from jackdawcrank_policy.values.position import Position

# Bound the memory that a faulty caller can use in this process.
MAX_SESSION_VALUES = 256
MAX_SESSION_STATEMENTS = 1_024
# Statements that need a valid key. The proxy answers the others by itself, and a
# rollback is always accepted.
KEYED_STATEMENTS = (Begin, Commit, DataStatement, ExecutePrepared)
INTERNAL_ERROR = "an internal error ended the statement"


@attrs.define(eq=False)
class CallerSession:
    """Session values, prepared statements and transaction state of a caller.

    Attributes:
      database: The database that the caller named when it connected.
      directory: Looks up the database.
      runner: Runs the session's statements.
      log: Records unexpected errors.
      context: Session values and prepared statements.
      state: The transaction state.
      last_position: The newest commit position returned to the caller.
      transaction: The open transaction; None until its first statement is
        assigned to a server.
      read_only: Whether the open transaction is read-only.
      spec: The database's declaration when the last statement outside a
        transaction, or the open transaction, began.
      group: The database group at that time.
      busy: Whether a statement is running.
      account: The client account of the caller; empty if it has none.
      key_digest: The SHA-256 digest of the key that the caller sent.
      authority: Checks the key for each statement; None if none is needed.
      identified: Whether the key was needed and identified.
      checked_version: The version of the declarations under which the key was
        accepted last; None before that. A reference to the declarations would
        keep every version alive that an idle session was checked under.
      ended: Whether the connection is to be closed after the answer.
      active_at: When the last statement ended, in seconds on the event loop's
        clock.
    """

    database: str
    directory: Resolver
    runner: Runner
    log: DecisionLog
    context: SessionContext = attrs.Factory(SessionContext)
    state: SessionState = SessionState.IDLE
    last_position: Position | None = None
    transaction: Transaction | None = None
    read_only: bool = False
    spec: DatabaseSpec | None = None
    group: GroupRelay | None = None
    busy: bool = False
    active_at: float = 0.0
    account: str = ""
    key_digest: bytes = b""
    authority: AccountAuthority | None = None
    identified: bool = False
    checked_version: int | None = None
    ended: bool = False

    async def handle(self, request_id: str, statement: Statement) -> Reply:
        """Run a statement and return the complete reply.

        Args:
          request_id: The request id that the caller sent.
          statement: The statement.
        """
        self.busy = True
        try:
            if self.state is SessionState.FAILED:
                return self.reply_after_failure(statement)
            if self.authority and isinstance(statement, KEYED_STATEMENTS):
                refusal = self.authority.check(self, request_id)
                if refusal is not None:
                    return self.refuse_key(statement, refusal)
            return await handle(statement, self, request_id)
        except Exception as error:
            return self.reply_after_error(request_id, error)
        finally:
            self.busy = False
            self.active_at = asyncio.get_running_loop().time()

    def refuse_key(self, statement: Statement, refusal: KeyRefusal) -> Reply:
        """Return the reply to a statement whose key may not be used now.

        An open transaction is rolled back. The session ends if the key is
        known to be invalid.

        Args:
          statement: The statement.
          refusal: Why the key may not be used.
        """
        problem = refusal.problem
        self.ended = problem is Problem.UNKNOWN_KEY
        if self.state is SessionState.IN_TRANSACTION:
            if not self.ended:
                problem = Problem.ROLLED_BACK
            self.fail_transaction()
            if isinstance(statement, Commit):
                self.end_transaction()
        return self.refuse(problem, refusal.detail)

    def reply_after_failure(self, statement: Statement) -> Reply:
        """Return the reply to a statement in a failed transaction.

        Only a rollback or a commit is accepted, and both end the transaction.

        Args:
          statement: The statement.
        """
        if isinstance(statement, Rollback):
            self.end_transaction()
            return self.done()
        if isinstance(statement, Commit):
            self.end_transaction()
            return self.refuse(
                Problem.ROLLED_BACK,
                "the transaction failed and was rolled back",
            )
        return self.refuse(
            Problem.MALFORMED, "the transaction failed; roll it back first"
        )

    def give_up(self, statement: Statement) -> Reply:
        """Return the final reply to a statement whose run was cancelled.

        An open transaction is rolled back.

        Args:
          statement: The statement.
        """
        detail = "the process stops"
        if isinstance(statement, Commit):
            self.discard_transaction()
            self.end_transaction()
            return self.refuse(Problem.IN_DOUBT, detail)
        if self.state is SessionState.IN_TRANSACTION:
            self.fail_transaction()
            return self.refuse(Problem.ROLLED_BACK, detail)
        if self.writes(statement):
            return self.refuse(Problem.IN_DOUBT, detail)
        return self.refuse(Problem.BUSY, detail)

    def writes(self, statement: Statement) -> bool:
        """Return whether a statement may change data.

        Args:
          statement: The statement.
        """
        if isinstance(statement, ExecutePrepared):
            prepared = self.context.statements.get(statement.name)
            return prepared is not None and prepared.writes
        return isinstance(statement, DataStatement) and statement.writes

    def reply_after_error(self, request_id: str, error: Exception) -> Reply:
        """Return the reply to a statement that an unexpected error ended.

        It may have run, and its caller must not wait for an answer.

        Args:
          request_id: The request id that the caller sent.
          error: The error.
        """
        self.log.event(
            "statement_error",
            request=request_id,
            database=self.database,
            detail=repr(error),
        )
        if self.state is SessionState.IN_TRANSACTION:
            self.fail_transaction()
        return self.refuse(Problem.IN_DOUBT, INTERNAL_ERROR)

    def done(self) -> Reply:
        """Return a success reply for a statement handled without a server."""
        return Reply(state=self.state, position=self.last_position)

    def refuse(self, problem: Problem, detail: str) -> Reply:
        """Return an error reply raised by the proxy.

        Args:
          problem: The kind of error.
          detail: The error message.
        """
        return Reply(problem=problem, detail=detail, state=self.state)

    def end_transaction(self) -> None:
        """Reset the session to the state outside a transaction."""
        self.transaction = None
        self.read_only = False
        self.state = SessionState.IDLE

    def resolve(self) -> bool:
        """Look up the database; return whether it is declared."""
        found = self.directory.resolve(self.database)
        if found is None:
            return False
        self.spec, self.group = found
        return True

    def fail_transaction(self) -> None:
        """Roll back on the server and mark the transaction as failed."""
        if self.transaction is not None:
            self.transaction.roll_back()
        self.transaction = None
        self.state = SessionState.FAILED

    def discard_transaction(self) -> None:
        """Roll back the open transaction, if there is one."""
        if self.transaction is not None:
            self.transaction.roll_back()
            self.transaction = None

    async def run_data(self, execution: Execution) -> Reply:
        """Run a read, a write or a prepared statement.

        Args:
          execution: The statement to run.
        """
        if self.state is SessionState.IDLE:
            if not self.resolve():
                return self.unknown_database()
            reply = await self.runner.run_single(self, execution)
        else:
            if execution.writes and self.read_only:
                self.fail_transaction()
                return self.refuse(
                    Problem.NOT_PRIMARY, "the transaction is read-only"
                )
            reply = await self.run_in_transaction(execution)
        return attrs.evolve(reply, state=self.state)

    async def run_in_transaction(self, execution: Execution) -> Reply:
        """Run a statement in the open transaction.

        Args:
          execution: The statement to run.
        """
        if self.transaction is None:
            opened = await self.runner.begin(self, execution)
            if isinstance(opened, Reply):
                self.state = SessionState.FAILED
                return opened
            self.transaction = opened
        reply = await self.transaction.run(self, execution)
        if reply.problem is not None:
            self.fail_transaction()
        return reply

    def unknown_database(self) -> Reply:
        """Return the error reply for a database that is not declared."""
        return self.refuse(
            Problem.UNKNOWN_DATABASE, "there is no such database"
        )

    def record_position(self, position: Position | None) -> None:
        """Advance the last position of this session.

        Args:
          position: The commit position, or None if the server sent none.
        """
        if position and (
            self.last_position is None or position > self.last_position
        ):
            self.last_position = position


@functools.singledispatch
async def handle(
    statement: Statement, session: CallerSession, request_id: str
) -> Reply:
    """Run a statement of one type.

    Args:
      statement: The statement.
      session: The session that it belongs to.
      request_id: The request id that the caller sent.

    Raises:
      TypeError: No handler is registered for the statement's type.
    """
    raise TypeError(f"unknown statement {statement!r}")


@handle.register
async def _(statement: Begin, session: CallerSession, request_id: str) -> Reply:
    if session.state is not SessionState.IDLE:
        session.fail_transaction()
        return session.refuse(
            Problem.MALFORMED, "a transaction is already open"
        )
    if not session.resolve():
        return session.unknown_database()
    session.state = SessionState.IN_TRANSACTION
    session.read_only = statement.read_only
    return session.done()


@handle.register
async def _(
    statement: Rollback, session: CallerSession, request_id: str
) -> Reply:
    session.discard_transaction()
    session.end_transaction()
    return session.done()


@handle.register
async def _(
    statement: Commit, session: CallerSession, request_id: str
) -> Reply:
    if session.state is SessionState.IDLE:
        return session.refuse(Problem.MALFORMED, "no transaction is open")
    if session.transaction is None:
        opened = await session.runner.begin(session, None)
        if isinstance(opened, Reply):
            session.end_transaction()
            return attrs.evolve(opened, state=session.state)
        session.transaction = opened
    reply = await session.transaction.commit(session, request_id)
    session.end_transaction()
    return attrs.evolve(reply, state=session.state)


@handle.register
async def _(
    statement: DataStatement, session: CallerSession, request_id: str
) -> Reply:
    return await session.run_data(
        Execution(request_id, statement.writes, statement.text)
    )


@handle.register
async def _(
    statement: ExecutePrepared, session: CallerSession, request_id: str
) -> Reply:
    prepared = session.context.statements.get(statement.name)
    if prepared is None:
        if session.state is SessionState.IN_TRANSACTION:
            session.fail_transaction()
        return session.refuse(
            Problem.UNKNOWN_NAME, f"no statement {statement.name!r}"
        )
    return await session.run_data(
        Execution(request_id, prepared.writes, statement.arguments, prepared)
    )


@handle.register
async def _(
    statement: DefinePrepared, session: CallerSession, request_id: str
) -> Reply:
    statements = session.context.statements
    if (
        len(statements) >= MAX_SESSION_STATEMENTS
        and statement.name not in statements
    ):
        return session.refuse(Problem.BUSY, "too many prepared statements")
    statements[statement.name] = PreparedStatement(
        statement.writes, statement.shape
    )
    return session.done()


@handle.register
async def _(
    statement: DeallocatePrepared, session: CallerSession, request_id: str
) -> Reply:
    if session.context.statements.pop(statement.name, None) is None:
        return session.refuse(
            Problem.UNKNOWN_NAME, f"no statement {statement.name!r}"
        )
    return session.done()


@handle.register
async def _(
    statement: SetSessionValue, session: CallerSession, request_id: str
) -> Reply:
    values = session.context.values
    if len(values) >= MAX_SESSION_VALUES and statement.name not in values:
        return session.refuse(Problem.BUSY, "too many session values")
    values[statement.name] = statement.value
    return session.done()


@handle.register
async def _(
    statement: InvalidStatement, session: CallerSession, request_id: str
) -> Reply:
    if session.state is SessionState.IN_TRANSACTION:
        session.fail_transaction()
    return session.refuse(Problem.MALFORMED, statement.detail)
