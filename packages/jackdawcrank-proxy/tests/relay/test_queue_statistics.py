"""Tests of the statistics of waits and refusals at servers."""

import asyncio
import json
import typing
from unittest.mock import Mock

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay import queue_reports
from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.relay.open_transaction import OpenTransaction
from jackdawcrank.relay.queue_reports import REPORT_SECONDS, QueueReports
from jackdawcrank.relay.queue_statistics import (
    MAX_TRACKED,
    OTHER_ACCOUNTS,
    QueueStatistics,
    merge_accounts,
)
from jackdawcrank.relay.statement_limiter import TRANSACTION_PRIORITY
from jackdawcrank.relay.statement_runner import Attempts, StatementRunner
from jackdawcrank.seams.commands import RollbackTransaction
from jackdawcrank.seams.replies import Problem, Reply
from jackdawcrank.seams.server_connection import NotOpened, OpenFailure
from jackdawcrank.timer.manual_timer import ManualTimer
from jackdawcrank_policy.sessions import SessionContext
from jackdawcrank_policy.waiting import WaitLimits

from .conftest import FakeConnection, FakeOpener, run_ready_tasks


def limits(seconds: float) -> WaitLimits:
    now = asyncio.get_running_loop().time()
    return WaitLimits(1, now + seconds, now + seconds)


def lines(log: DecisionLog) -> list[dict[str, typing.Any]]:
    found = [json.loads(one) for one in log.pending]
    return [one for one in found if one["event"] == "server_queue"]


async def test_statement_that_waits_twice_is_counted_once(
    pool: ConnectionPool, opener: FakeOpener
) -> None:
    # Counted per queue, a full server would seem to have twice the load.
    waiting = asyncio.create_task(pool.acquire(SessionContext(), limits(5.0)))
    await run_ready_tasks()
    await asyncio.sleep(0.01)
    pool.limiter.in_flight_count = 2
    connection = await opener.complete_next_open()
    await asyncio.sleep(0.01)
    pool.limiter.leave(0.01)
    assert await waiting is connection
    ((key, count),) = pool.queue_statistics.take().items()
    assert key == (1, "")
    assert (count.waited, count.refused, count.full) == (1, 0, 0)
    assert count.longest_seconds == count.total_seconds >= 0.015


async def test_statement_that_is_served_at_once_is_not_counted(
    pool: ConnectionPool, opener: FakeOpener
) -> None:
    # Every statement would be counted, and each server would have lines.
    pool.count = 1
    pool.release(typing.cast(typing.Any, FakeConnection()))
    await pool.acquire(SessionContext(), limits(5.0), "")
    assert pool.queue_statistics.counts == {}


async def test_refused_full_and_cancelled_statements_are_counted(
    pool: ConnectionPool, opener: FakeOpener
) -> None:
    # The callers that give up first would be missing.
    cancelled = asyncio.create_task(
        pool.acquire(SessionContext(), limits(5.0), "gone")
    )
    late = asyncio.create_task(
        pool.acquire(SessionContext(), limits(0.05), "late")
    )
    full = asyncio.create_task(
        pool.acquire(SessionContext(), limits(5.0), "full")
    )
    await asyncio.sleep(0.08)
    cancelled.cancel()
    await run_ready_tasks()
    while opener.pending_opens:
        opener.pending_opens.pop(0).set_result(
            NotOpened(OpenFailure.FULL, "too many connections")
        )
    await asyncio.gather(cancelled, late, full, return_exceptions=True)
    found = {
        account: (count.waited, count.refused, count.full)
        for (_, account), count in pool.queue_statistics.take().items()
    }
    assert found == {"gone": (1, 0, 0), "late": (1, 1, 0), "full": (1, 0, 1)}


async def test_refused_statement_of_a_transaction_has_its_own_priority(
    pool: ConnectionPool,
) -> None:
    # It would be looked for among new work, which waits behind it.
    connection = FakeConnection(account="acme")
    pool.check_out(typing.cast(typing.Any, connection))
    pool.limiter.in_flight_count = 2
    deadline = asyncio.get_running_loop().time() + 0.01
    assert not await pool.begin_statement(
        typing.cast(typing.Any, connection), deadline
    )
    ((key, count),) = pool.queue_statistics.take().items()
    assert key == (TRANSACTION_PRIORITY, "acme")
    # Its turn would have come too late, so it did not even wait.
    assert (count.waited, count.refused) == (0, 1)


async def test_refusals_by_the_server_are_counted_for_their_caller(
    pool: ConnectionPool, log: DecisionLog
) -> None:
    # A full server would seem idle, or its load be that of another account.
    runner = StatementRunner(typing.cast(typing.Any, None), log)
    attempts = Attempts(1.0, 0.0, priority=2, account="acme")
    group: typing.Any = Mock()
    for problem in (Problem.BUSY, Problem.LACKS_POSITION):
        reply = Reply(problem=problem)
        runner.record_refusal(group, pool, reply, attempts)
    connection = FakeConnection(account="bolt")
    opened = typing.cast(typing.Any, connection)
    pool.check_out(opened)
    transaction = OpenTransaction(group, pool, opened, True, 1.0)
    deadline = runner.loop.time() + 5.0
    sending = asyncio.create_task(
        transaction.send([RollbackTransaction()], deadline)
    )
    await run_ready_tasks()
    connection.sent[0][1].set_result(Reply(problem=Problem.BUSY))
    await sending
    found = {key: one.full for key, one in pool.queue_statistics.take().items()}
    assert found == {(2, "acme"): 1, (TRANSACTION_PRIORITY, "bolt"): 1}


def test_statistics_are_bounded_and_lose_no_statement() -> None:
    # Names come from outside; 100,000 of them would fill a small VM.
    statistics = QueueStatistics()
    for number in range(2_000):
        statistics.admission_ended(1, f"a{number}", 0.5, False)
    assert len(statistics.counts) == MAX_TRACKED + 1
    counts = statistics.take()
    assert sum(one.waited for one in counts.values()) == 2_000
    assert statistics.counts == {}


def test_busiest_accounts_stay_separate() -> None:
    # The account that makes the load would be hidden among the others.
    statistics = QueueStatistics()
    for priority, account, number in (
        (0, "a", 2),
        (1, "a", 2),
        (0, "b", 3),
        (1, "c", 1),
        (1, "", 1),
        (1, OTHER_ACCOUNTS, 9),
    ):
        for _ in range(number):
            statistics.refused_by_server(priority, account)
    merged = merge_accounts(statistics.take(), 2)
    assert {key: one.full for key, one in merged.items()} == {
        (0, "a"): 2,
        (1, "a"): 2,
        (0, "b"): 3,
        (1, ""): 1,
        (1, OTHER_ACCOUNTS): 10,
    }


async def test_lines_are_written_only_for_servers_with_waits(
    pool: ConnectionPool, log: DecisionLog
) -> None:
    # A quiet fleet would fill the disks of its log collector.
    timer = ManualTimer()
    pools = [pool]
    reports = QueueReports(lambda: pools, log)
    await reports.start(timer)
    await timer.advance(REPORT_SECONDS)
    assert lines(log) == []
    pool.queue_statistics.admission_ended(2, "acme", 0.25, False)
    pool.queue_statistics.admission_ended(2, "acme", 0.75, True)
    await timer.advance(REPORT_SECONDS)
    (line,) = lines(log)
    assert {name: line[name] for name in line if name not in ("at", "vm")} == {
        "event": "server_queue",
        "group": "plots",
        "server": "s1",
        "priority": 2,
        "account": "acme",
        "waited": 2,
        "longest_ms": 750.0,
        "mean_ms": 500.0,
        "refused": 1,
        "full": 0,
        "places": 2.0,
    }
    # The waits at a server that is removed under load would be lost.
    pools.clear()
    pool.queue_statistics.refused_by_server(2, "acme")
    await reports.close()
    assert [one["full"] for one in lines(log)] == [0, 1]


async def test_lines_of_many_servers_are_bounded(
    pool: ConnectionPool, log: DecisionLog
) -> None:
    # They would push lines about failures out of the log's buffer.
    others = [
        ConnectionPool(pool.server, pool.opener, 8, 2.0, log, pool.on_lost)
        for _ in range(60)
    ]
    for one in others:
        for number in range(40):
            one.queue_statistics.refused_by_server(number % 3, f"a{number}")
    QueueReports(lambda: others, log).report()
    bound = queue_reports.MAX_DETAILED_LINES + 13 + 60 * 3
    assert len(lines(log)) <= bound
    assert sum(one["full"] for one in lines(log)) == 60 * 40
