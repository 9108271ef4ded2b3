import asyncio
import typing

import attrs
import pytest

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.relay.execution import Execution
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.relay.open_transaction import OpenTransaction
from jackdawcrank.relay.session_view import SessionView
from jackdawcrank.seams.commands import RollbackTransaction
from jackdawcrank.seams.replies import Problem, Reply, SessionState
from jackdawcrank_policy.sessions import (
    ConnectionContext,
    PreparedStatement,
    SessionContext,
)
from jackdawcrank_policy.succession import PrimarySuspicion
from jackdawcrank_policy.waiting import WaitLimits

from .conftest import FakeConnection, FakeOpener, run_ready_tasks


@attrs.define
class FakeGroup:
    log: DecisionLog
    name: str = "plots"
    unanswered: int = 0
    suspicion: PrimarySuspicion = attrs.Factory(PrimarySuspicion)

    def record_unanswered(self, *_: object) -> None:
        self.unanswered += 1


@attrs.define
class FakeSession:
    database: str = "plots"
    context: SessionContext = attrs.Factory(SessionContext)


SESSION = typing.cast(SessionView, FakeSession())


@pytest.fixture
def group(log: DecisionLog) -> FakeGroup:
    return FakeGroup(log)


@pytest.fixture
async def transaction(
    pool: ConnectionPool, opener: FakeOpener, group: FakeGroup
) -> OpenTransaction:
    connection = FakeConnection(state=SessionState.IN_TRANSACTION)
    pool.count = 1
    pool.check_out(connection)
    # The server is at its limit, so a statement has to wait.
    pool.limiter.in_flight_count = 2
    return OpenTransaction(
        typing.cast(GroupRelay, group), pool, connection, True, 0.05
    )


async def test_statement_not_admitted_in_time_is_rolled_back(
    transaction: OpenTransaction, group: FakeGroup
) -> None:
    reply = await transaction.run(SESSION, Execution("r1", True, "WRITE a b"))
    assert reply.problem is Problem.ROLLED_BACK
    assert is_rolled_back(transaction)
    # A full server must not be reported as unresponsive.
    assert group.unanswered == 0


async def test_commit_that_was_not_sent_is_not_in_doubt(
    transaction: OpenTransaction, group: FakeGroup
) -> None:
    transaction.wrote = True
    reply = await transaction.commit(SESSION, "r2")
    assert reply.problem is Problem.ROLLED_BACK
    assert is_rolled_back(transaction)
    assert group.unanswered == 0


async def test_commit_that_was_sent_and_not_answered_is_in_doubt(
    transaction: OpenTransaction, pool: ConnectionPool, group: FakeGroup
) -> None:
    transaction.wrote = True
    pool.limiter.in_flight_count = 0
    reply = await transaction.commit(SESSION, "r2")
    assert reply.problem is Problem.IN_DOUBT
    assert transaction.connection.closed
    assert group.unanswered == 1


async def test_connection_is_released_after_the_rollback_reply(
    transaction: OpenTransaction, pool: ConnectionPool
) -> None:
    await transaction.run(SESSION, Execution("r1", True, "WRITE a b"))
    connection = typing.cast(FakeConnection, transaction.connection)
    connection.state = SessionState.IDLE
    connection.sent[-1][1].set_result(Reply())
    await run_ready_tasks()
    assert [one.connection for one in pool.idle] == [connection]
    await asyncio.sleep(0)


async def test_statement_of_an_ended_transaction_leaves_its_slot(
    transaction: OpenTransaction, pool: ConnectionPool
) -> None:
    # Fails if the slot is lost for good when the connection already serves
    # another request as the statement is admitted.
    waiting = asyncio.create_task(
        transaction.run(SESSION, Execution("r1", True, "WRITE a b"))
    )
    await run_ready_tasks()
    transaction.roll_back()
    connection = typing.cast(FakeConnection, transaction.connection)
    connection.state = SessionState.IDLE
    connection.sent[-1][1].set_result(Reply())
    await run_ready_tasks()
    deadline = asyncio.get_running_loop().time() + 5.0
    limits = WaitLimits(0, deadline, deadline)
    other = asyncio.create_task(pool.acquire(SessionContext(), limits))
    await run_ready_tasks()
    for _ in range(2):
        pool.limiter.leave(0.01)
    assert (await waiting).problem is Problem.ROLLED_BACK
    assert await other is connection
    pool.release(connection)
    assert pool.limiter.in_flight_count == 0


async def test_ended_transaction_does_not_repeat_a_refused_statement(
    transaction: OpenTransaction, pool: ConnectionPool
) -> None:
    # Fails if a slot is lost for good when the transaction is rolled back
    # during the pause after a refusal and its connection is used again.
    pool.limiter.in_flight_count = 0
    pool.limiter.window.size = 8.0
    transaction.timeout_seconds = 5.0
    waiting = asyncio.create_task(
        transaction.run(SESSION, Execution("r1", True, "WRITE a b"))
    )
    await run_ready_tasks()
    connection = typing.cast(FakeConnection, transaction.connection)
    connection.sent[-1][1].set_result(
        Reply(problem=Problem.BUSY, state=SessionState.IN_TRANSACTION)
    )
    await run_ready_tasks()
    transaction.roll_back()
    connection.state = SessionState.IDLE
    connection.sent[-1][1].set_result(Reply())
    await run_ready_tasks()
    deadline = asyncio.get_running_loop().time() + 5.0
    limits = WaitLimits(0, deadline, deadline)
    assert await pool.acquire(SessionContext(), limits) is connection
    assert (await waiting).problem is Problem.ROLLED_BACK
    pool.release(connection)
    assert pool.limiter.in_flight_count == 0


READ_SHAPE = PreparedStatement(False, "q1")
PREPARED_SESSION = typing.cast(
    SessionView,
    FakeSession(context=SessionContext({"zone": "north"}, {"s1": READ_SHAPE})),
)
EXECUTE = Execution("r1", False, "plot1", READ_SHAPE)


async def test_setup_that_was_not_sent_is_not_recorded(
    transaction: OpenTransaction,
) -> None:
    # The next session on the connection would execute an unknown name, or run
    # under another session's values.
    await transaction.run(PREPARED_SESSION, EXECUTE)
    assert is_rolled_back(transaction)
    assert transaction.connection.context == ConnectionContext()


@pytest.mark.parametrize("confirmed", [0, 1, 2, 3])
@pytest.mark.parametrize("failure", [Problem.BUSY, Problem.FAILED, None])
async def test_only_confirmed_setup_is_recorded(
    transaction: OpenTransaction,
    pool: ConnectionPool,
    confirmed: int,
    failure: Problem | None,
) -> None:
    # Each command of the batch is answered, refused or not answered.
    pool.limiter.in_flight_count = 0
    running = asyncio.create_task(transaction.run(PREPARED_SESSION, EXECUTE))
    await run_ready_tasks()
    connection = typing.cast(FakeConnection, transaction.connection)
    replies = [future for _, future in connection.sent]
    assert len(replies) == 3
    for reply in replies[:confirmed]:
        reply.set_result(Reply(signature="x"))
    if failure is not None:
        for reply in replies[confirmed:]:
            reply.set_result(Reply(problem=failure))
    await running
    context = connection.context
    assert context.values == ({"zone": "north"} if confirmed > 0 else {})
    assert context.names == ({READ_SHAPE: "j0"} if confirmed > 1 else {})
    if confirmed < 2 and failure is not None:
        assert context.failed


async def test_connection_whose_setup_failed_is_closed(
    pool: ConnectionPool,
) -> None:
    # What the server holds is not known after a refused step.
    connection = FakeConnection()
    connection.context.failed = True
    pool.count = 1
    pool.check_out(connection)
    pool.release(connection)
    assert connection.closed and pool.idle == []


async def test_unknown_name_in_a_transaction_is_a_rollback(
    transaction: OpenTransaction, pool: ConnectionPool
) -> None:
    # The caller prepared the statement, so it must not be told otherwise.
    pool.limiter.in_flight_count = 0
    running = asyncio.create_task(transaction.run(PREPARED_SESSION, EXECUTE))
    await run_ready_tasks()
    connection = typing.cast(FakeConnection, transaction.connection)
    for _, reply in connection.sent:
        reply.set_result(Reply(problem=Problem.UNKNOWN_NAME))
    assert (await running).problem is Problem.ROLLED_BACK


def is_rolled_back(transaction: OpenTransaction) -> bool:
    connection = typing.cast(FakeConnection, transaction.connection)
    return [command for command, _ in connection.sent] == [
        RollbackTransaction()
    ]
