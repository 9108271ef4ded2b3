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
from jackdawcrank_policy.sessions import SessionContext

from .conftest import FakeConnection, FakeOpener, run_ready_tasks


@attrs.define
class FakeGroup:
    log: DecisionLog
    name: str = "plots"
    unanswered: int = 0

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


def is_rolled_back(transaction: OpenTransaction) -> bool:
    connection = typing.cast(FakeConnection, transaction.connection)
    return [command for command, _ in connection.sent] == [
        RollbackTransaction()
    ]
