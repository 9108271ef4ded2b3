import asyncio

import pytest

from jackdawcrank.relay.connection_pool import ConnectionPool, WaitLimitExceeded
from jackdawcrank.seams.server_connection import NotOpened, OpenFailure
from jackdawcrank_policy.sessions import SessionContext
from jackdawcrank_policy.waiting import WaitLimits

from .conftest import FakeOpener, run_ready_tasks


def limits(seconds: float = 5.0) -> WaitLimits:
    now = asyncio.get_running_loop().time()
    return WaitLimits(1, now + seconds, now + seconds)


def request(pool: ConnectionPool) -> asyncio.Task[object]:
    return asyncio.create_task(pool.acquire(SessionContext(), limits()))


async def test_concurrent_requests_open_one_connection_at_a_time(
    pool: ConnectionPool, opener: FakeOpener
) -> None:
    requests = [request(pool) for _ in range(6)]
    await run_ready_tasks()
    assert (len(opener.pending_opens), pool.count) == (1, 1)
    await opener.complete_next_open()
    assert (len(opener.pending_opens), pool.count) == (1, 2)
    for task in requests:
        task.cancel()


async def test_no_connection_is_opened_while_the_limiter_is_full(
    pool: ConnectionPool, opener: FakeOpener
) -> None:
    requests = [request(pool) for _ in range(6)]
    await run_ready_tasks()
    for _ in range(2):
        await opener.complete_next_open()
    # Two statements run, which fills the limiter's window.
    assert pool.limiter.in_flight_count == 2
    assert opener.pending_opens == [] and pool.count == 2
    pool.release(opener.opened[0])
    await run_ready_tasks()
    # The released connection goes to the next request in the queue.
    assert pool.limiter.in_flight_count == 2 and pool.queue.length == 3
    for task in requests:
        task.cancel()


async def test_opening_resumes_when_the_limiter_has_room(
    pool: ConnectionPool, opener: FakeOpener
) -> None:
    requests = [request(pool) for _ in range(4)]
    await run_ready_tasks()
    for _ in range(2):
        await opener.complete_next_open()
    assert opener.pending_opens == []
    # A transaction keeps its connection between statements.
    pool.end_statement(opener.opened[0])
    assert len(opener.pending_opens) == 0
    await run_ready_tasks()
    assert len(opener.pending_opens) == 1
    for task in requests:
        task.cancel()


async def test_statement_is_rejected_early_while_the_queue_is_overloaded(
    pool: ConnectionPool,
) -> None:
    pool.limiter.in_flight_count = 2
    waiting = asyncio.create_task(pool.limiter.enter(limits()))
    await run_ready_tasks()
    pool.limiter.overload_detector.nonempty_since = (
        asyncio.get_running_loop().time() - 1.0
    )
    now = asyncio.get_running_loop().time()
    overloaded = WaitLimits(1, now + 5.0, now)
    assert (await pool.limiter.enter(overloaded)).value == "hopeless"
    waiting.cancel()


async def test_open_failure_is_returned_to_all_queued_requests(
    pool: ConnectionPool, opener: FakeOpener
) -> None:
    requests = [request(pool) for _ in range(3)]
    await run_ready_tasks()
    refused = NotOpened(OpenFailure.REFUSED, "connection refused")
    opener.pending_opens.pop(0).set_result(refused)
    assert await asyncio.gather(*requests) == [refused] * 3
    assert pool.count == 0


@pytest.mark.parametrize("early", [True, False])
async def test_connection_wait_ends_with_wait_limit_exceeded(
    pool: ConnectionPool, early: bool
) -> None:
    now = asyncio.get_running_loop().time()
    pool.limit = 0 if early else 8
    short = WaitLimits(1, now + 0.01, now + 0.01)
    assert await pool.acquire(SessionContext(), short) == WaitLimitExceeded()
    assert pool.queue.length == 0


async def test_idle_connections_beyond_a_smaller_limit_are_closed(
    pool: ConnectionPool, opener: FakeOpener
) -> None:
    requests = [request(pool) for _ in range(2)]
    await run_ready_tasks()
    for _ in range(2):
        await opener.complete_next_open()
    assert await asyncio.gather(*requests) == opener.opened
    for connection in opener.opened:
        pool.release(connection)
    pool.limit = 1
    pool.trim(keep=1)
    assert (pool.count, len(pool.idle)) == (1, 1)


async def test_drained_queue_is_not_busy(
    pool: ConnectionPool, opener: FakeOpener
) -> None:
    pool.limiter.in_flight_count = 2
    waiting = [asyncio.create_task(pool.limiter.enter(limits())) for _ in "ab"]
    await run_ready_tasks()
    pool.limiter.overload_detector.nonempty_since = (
        asyncio.get_running_loop().time() - 1.0
    )
    assert pool.queue_nonempty_seconds() >= 1.0
    for _ in waiting:
        pool.limiter.leave(0.01)
    await asyncio.gather(*waiting)
    assert pool.queue_nonempty_seconds() == 0.0
