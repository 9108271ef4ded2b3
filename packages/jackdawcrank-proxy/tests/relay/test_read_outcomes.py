import typing

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.relay.resolver import Resolver
from jackdawcrank.relay.statement_runner import Attempts, StatementRunner
from jackdawcrank.seams.replies import Problem, Reply
from jackdawcrank.seams.server_connection import ServerConnection
from jackdawcrank_policy.succession import SwitchoverTrigger

from .conftest import FakeConnection


@attrs.define
class FakeGroup:
    switchover_trigger: SwitchoverTrigger = SwitchoverTrigger(0.0)
    answered: list[tuple[str, list[str]]] = attrs.Factory(list)

    def primary_pool(self) -> None:
        return None

    def record_unanswered(self, *_: object) -> None:
        pass

    def record_read_answered(
        self, server_id: str, failed_on: list[str]
    ) -> None:
        self.answered.append((server_id, list(failed_on)))


async def test_failure_counts_once_the_read_is_answered(
    pool: ConnectionPool, log: DecisionLog
) -> None:
    """Guards against a bad statement counting against every server."""
    runner = StatementRunner(typing.cast(Resolver, None), log)
    fake = FakeGroup()
    group = typing.cast(GroupRelay, fake)
    attempts = Attempts(runner.loop.time() + 1.0, runner.loop.time())
    for problem in (Problem.FAILED, Problem.TIMED_OUT, Problem.BUSY):
        runner.accept_read(group, pool, Reply(problem=problem), attempts)
    assert not fake.answered
    runner.accept_read(group, pool, Reply(), attempts)
    assert fake.answered == [("s1", ["s1", "s1"])]


async def test_deadline_that_passes_early_is_no_evidence(
    pool: ConnectionPool, log: DecisionLog
) -> None:
    """Guards against blaming a server for its caller's short deadline."""
    runner = StatementRunner(typing.cast(Resolver, None), log)
    group = typing.cast(GroupRelay, FakeGroup())
    now = runner.loop.time()
    connection = FakeConnection()
    for closed, limit, failed_on in (
        (False, 0.3, []),
        (False, 0.0, ["s1"]),
        (True, 0.3, ["s1"]),
    ):
        connection.closed = closed
        attempts = Attempts(now, now)
        runner.record_no_answer(
            group,
            pool,
            typing.cast(ServerConnection, connection),
            attempts,
            now,
            limit,
        )
        assert attempts.failed_on == failed_on
