"""One caller's session."""

import asyncio
import functools

import attrs

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

# A caller's own mistakes cannot grow a process beyond its memory limit.
MAX_VALUES = 256
MAX_STATEMENTS = 1_024


@attrs.define(eq=False)
class CallerSession:
    """What a connected caller has set up and where it stands.

    Attributes:
      database: The database that it named on connecting.
      directory: Finds its database.
      runner: Runs its statements.
      memory: Its session values and prepared names.
      state: Where it stands.
      last_position: The newest commit that it was told of.
      transaction: The open transaction once a server runs it.
      read_only: Whether the transaction may not write.
      spec: The database's declaration when the transaction began.
      group: The group that served it then.
      busy: Whether a statement is under way.
      active_at: When the last statement ended, in seconds.
    """

    database: str
    directory: Resolver
    runner: Runner
    memory: SessionContext = attrs.Factory(SessionContext)
    state: SessionState = SessionState.IDLE
    last_position: Position | None = None
    transaction: Transaction | None = None
    read_only: bool = False
    spec: DatabaseSpec | None = None
    group: GroupRelay | None = None
    busy: bool = False
    active_at: float = 0.0

    async def handle(self, request_id: str, statement: Statement) -> Reply:
        """Run a statement and return the whole answer.

        Args:
          request_id: The caller's id of the statement.
          statement: The statement.
        """
        self.busy = True
        try:
            if self.state is SessionState.FAILED:
                return self.after_failure(statement)
            return await handle(statement, self, request_id)
        finally:
            self.busy = False
            self.active_at = asyncio.get_running_loop().time()

    def after_failure(self, statement: Statement) -> Reply:
        """Answer while only ending the transaction is possible."""
        if isinstance(statement, Rollback):
            self.end_transaction()
            return self.done()
        if isinstance(statement, Commit):
            self.end_transaction()
            return self.refuse(
                Problem.ROLLED_BACK, "the transaction had failed"
            )
        return self.refuse(
            Problem.MALFORMED, "the transaction failed; roll it back"
        )

    def done(self) -> Reply:
        """Return a success that no server was asked for."""
        return Reply(state=self.state, position=self.last_position)

    def refuse(self, problem: Problem, detail: str) -> Reply:
        """Return a problem of the proxy's own.

        Args:
          problem: What kind it is.
          detail: A sentence about it.
        """
        return Reply(problem=problem, detail=detail, state=self.state)

    def end_transaction(self) -> None:
        """Forget the transaction."""
        self.transaction = None
        self.read_only = False
        self.state = SessionState.IDLE

    def resolve(self) -> bool:
        """Find the database's declaration; return whether there is one."""
        found = self.directory.resolve(self.database)
        if found is None:
            return False
        self.spec, self.group = found
        return True

    def fail_transaction(self) -> None:
        """Roll back on the server and wait for the caller to end it."""
        if self.transaction is not None:
            self.transaction.undo()
        self.transaction = None
        self.state = SessionState.FAILED

    def abandon(self) -> None:
        """Roll back what the caller has left behind."""
        if self.transaction is not None:
            self.transaction.undo()
            self.transaction = None

    async def run_data(self, execution: Execution) -> Reply:
        """Run a read, a write or a prepared one.

        Args:
          execution: What to run.
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
        """Run a statement of the open transaction.

        Args:
          execution: What to run.
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
        """Return that the database is not declared."""
        return self.refuse(
            Problem.UNKNOWN_DATABASE, f"no database {self.database!r}"
        )

    def saw(self, position: Position | None) -> None:
        """Take in the position of a commit of this session.

        Args:
          position: The position; None if the server told none.
        """
        if position and (
            self.last_position is None or position > self.last_position
        ):
            self.last_position = position


@functools.singledispatch
async def handle(
    statement: Statement, session: CallerSession, request_id: str
) -> Reply:
    """Run one kind of statement.

    Args:
      statement: The statement.
      session: Whose it is.
      request_id: The caller's id of it.
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
    session.abandon()
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
    prepared = session.memory.statements.get(statement.name)
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
    statements = session.memory.statements
    if len(statements) >= MAX_STATEMENTS and statement.name not in statements:
        return session.refuse(Problem.BUSY, "too many prepared statements")
    statements[statement.name] = PreparedStatement(
        statement.writes, statement.shape
    )
    return session.done()


@handle.register
async def _(
    statement: DeallocatePrepared, session: CallerSession, request_id: str
) -> Reply:
    if session.memory.statements.pop(statement.name, None) is None:
        return session.refuse(
            Problem.UNKNOWN_NAME, f"no statement {statement.name!r}"
        )
    return session.done()


@handle.register
async def _(
    statement: SetSessionValue, session: CallerSession, request_id: str
) -> Reply:
    values = session.memory.values
    if len(values) >= MAX_VALUES and statement.name not in values:
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
