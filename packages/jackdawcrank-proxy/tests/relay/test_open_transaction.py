import asyncio
import typing

import attrs
import pytest

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.execution import Execution
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.relay.open_transaction import OpenTransaction
from jackdawcrank.relay.server_lane import ServerLane
from jackdawcrank.relay.session_view import SessionView
from jackdawcrank.seams.commands import RollbackTransaction
from jackdawcrank.seams.replies import Problem, Reply, SessionState
from jackdawcrank_policy.sessions import SessionContext

from .conftest import FakeLink, FakeOpener, settle


@attrs.define
class FakeGroup:
    log: DecisionLog
    name: str = "plots"
    lost: int = 0

    def note_lost(self, *_: object) -> None:
        self.lost += 1


@attrs.define
class FakeSession:
    database: str = "plots"
    memory: SessionContext = attrs.Factory(SessionContext)


SESSION = typing.cast(SessionView, FakeSession())


@pytest.fixture
def group(log: DecisionLog) -> FakeGroup:
    return FakeGroup(log)


@pytest.fixture
async def transaction(
    lane: ServerLane, opener: FakeOpener, group: FakeGroup
) -> OpenTransaction:
    link = FakeLink(state=SessionState.IN_TRANSACTION)
    lane.count = 1
    lane.lend(link)
    # The server has all that it can take.
    lane.gate.under_way = 2
    return OpenTransaction(
        typing.cast(GroupRelay, group), lane, link, True, 0.05
    )


async def test_statement_whose_turn_does_not_come_is_rolled_back(
    transaction: OpenTransaction, group: FakeGroup
) -> None:
    reply = await transaction.run(SESSION, Execution("r1", True, "WRITE a b"))
    assert reply.problem is Problem.ROLLED_BACK
    assert undone(transaction)
    # A full server is no evidence against it.
    assert group.lost == 0


async def test_commit_that_was_not_sent_is_not_in_doubt(
    transaction: OpenTransaction, group: FakeGroup
) -> None:
    transaction.wrote = True
    reply = await transaction.commit(SESSION, "r2")
    assert reply.problem is Problem.ROLLED_BACK
    assert undone(transaction)
    assert group.lost == 0


async def test_commit_that_was_sent_and_not_answered_is_in_doubt(
    transaction: OpenTransaction, lane: ServerLane, group: FakeGroup
) -> None:
    transaction.wrote = True
    lane.gate.under_way = 0
    reply = await transaction.commit(SESSION, "r2")
    assert reply.problem is Problem.IN_DOUBT
    assert transaction.link.closed
    assert group.lost == 1


async def test_undone_connection_comes_back_when_the_server_says_so(
    transaction: OpenTransaction, lane: ServerLane
) -> None:
    await transaction.run(SESSION, Execution("r1", True, "WRITE a b"))
    link = typing.cast(FakeLink, transaction.link)
    link.state = SessionState.IDLE
    link.sent[-1][1].set_result(Reply())
    await settle()
    assert [one.link for one in lane.idle] == [link]
    await asyncio.sleep(0)


def undone(transaction: OpenTransaction) -> bool:
    link = typing.cast(FakeLink, transaction.link)
    return [command for command, _ in link.sent] == [RollbackTransaction()]
