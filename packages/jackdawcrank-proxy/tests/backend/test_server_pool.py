"""Tests of the connection pool of one backend server."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import pytest

from jackdawcrank.backend import server_pool
from jackdawcrank.backend.answer import LostAnswer
from jackdawcrank.backend.endpoint import Endpoint
from jackdawcrank.backend.server_connection import (
    ConnectFailed,
    ServerConnection,
)
from jackdawcrank.backend.server_pool import ServerPool
from jackdawcrank_standins.backend import BackendServer

# Every test shortens the time limit of a ping to 50 ms.
pytestmark = pytest.mark.serial

WARM = 5
POLL_INTERVAL_SECONDS = 0.01
MAX_POLLS = 300
# Far above what closing takes.
CLOSE_TIMEOUT_SECONDS = 5.0


async def wait_until(condition: Callable[[], bool]) -> None:
    for _ in range(MAX_POLLS):
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    raise AssertionError("the condition was not met in time")


@pytest.fixture
def pinged(monkeypatch: pytest.MonkeyPatch) -> list[ServerConnection]:
    """Return the list to which pinged connections are added in order."""
    found: list[ServerConnection] = []
    ping = ServerConnection.ping

    async def recording_ping(
        self: ServerConnection, timeout_seconds: float
    ) -> bool:
        found.append(self)
        return await ping(self, timeout_seconds)

    monkeypatch.setattr(ServerConnection, "ping", recording_ping)
    monkeypatch.setattr(
        server_pool, "IDLE_CHECK_SECONDS", POLL_INTERVAL_SECONDS
    )
    monkeypatch.setattr(server_pool, "PING_TIMEOUT_SECONDS", 0.05)
    return found


@pytest.fixture
def dropped() -> list[str]:
    return []


@pytest.fixture
async def pool(
    endpoint: Endpoint, dropped: list[str], pinged: list[ServerConnection]
) -> AsyncIterator[ServerPool]:
    pool = ServerPool(
        endpoint, WARM, WARM, lambda server, why: dropped.append(why)
    )
    pool.start()
    await wait_until(lambda: len(pool.idle) == WARM)
    yield pool
    await pool.close()


def make_idle_connections_stale(pool: ServerPool) -> None:
    """Backdate the last answers of idle connections, oldest first."""
    for number, connection in enumerate(pool.idle):
        connection.last_answer_at -= 100 - number
    pool.pinged_at -= 100


async def test_only_longest_idle_connection_is_pinged(
    pool: ServerPool, pinged: list[ServerConnection]
) -> None:
    oldest = pool.idle[0]
    make_idle_connections_stale(pool)
    await wait_until(lambda: bool(pinged))
    for _ in range(5):
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    assert pinged == [oldest]
    assert len(pool.idle) == WARM


async def test_a_fresh_connection_is_not_pinged(
    pool: ServerPool, pinged: list[ServerConnection]
) -> None:
    pool.pinged_at -= 100
    for _ in range(5):
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    assert not pinged


async def test_unanswered_ping_checks_all_idle_connections(
    pool: ServerPool, server: BackendServer, dropped: list[str]
) -> None:
    silent = set(pool.idle)
    server.silence()
    make_idle_connections_stale(pool)
    await wait_until(lambda: len(dropped) == WARM)
    await wait_until(lambda: len(pool.idle) == WARM)
    assert silent.isdisjoint(pool.idle)
    assert (pool.in_use, pool.opening) == (0, 0)


async def test_silent_busy_connection_is_closed_after_the_idle_ones(
    pool: ServerPool,
    server: BackendServer,
    dropped: list[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        server_pool, "LATE_ANSWER_SECONDS", 50 * POLL_INTERVAL_SECONDS
    )
    busy = await pool.acquire(2.0)
    assert isinstance(busy, ServerConnection)
    server.silence()
    running = asyncio.create_task(busy.run("SELECT 1", CLOSE_TIMEOUT_SECONDS))
    await asyncio.sleep(0)
    make_idle_connections_stale(pool)
    # The idle connections are found silent and replaced by ones that answer
    # before the statement is late.
    await wait_until(lambda: len(dropped) == WARM - 1)
    await wait_until(lambda: len(pool.idle) == WARM - 1)
    await wait_until(lambda: not busy.usable)
    assert isinstance(await running, LostAnswer)
    pool.release(busy)


@pytest.mark.parametrize(
    ("sql", "reasons"),
    [("BEGIN", ["silent", "lost"]), ("SELECT 1", ["lost"])],
)
async def test_only_connection_of_a_pool_is_closed_if_begin_is_unanswered(
    endpoint: Endpoint,
    server: BackendServer,
    dropped: list[str],
    monkeypatch: pytest.MonkeyPatch,
    sql: str,
    reasons: list[str],
) -> None:
    """Guards against writes that wait for their deadline on a dead connection.

    A pool that has not opened its other connections has none to ping. Other
    statements may be slow, so that their connections stay until the deadline.
    """
    monkeypatch.setattr(
        server_pool, "IDLE_CHECK_SECONDS", POLL_INTERVAL_SECONDS
    )
    monkeypatch.setattr(
        server_pool, "LATE_ANSWER_SECONDS", 5 * POLL_INTERVAL_SECONDS
    )
    pool = ServerPool(endpoint, 1, 0, lambda server, why: dropped.append(why))
    busy = await pool.acquire(2.0)
    assert isinstance(busy, ServerConnection)
    server.silence()
    pool.start()
    answer = await busy.run(sql, 100 * POLL_INTERVAL_SECONDS)
    assert isinstance(answer, LostAnswer)
    pool.release(busy)
    assert dropped == reasons
    await pool.close()


async def test_closed_connections_are_replaced_without_a_ping(
    pool: ServerPool,
    server: BackendServer,
    dropped: list[str],
    pinged: list[ServerConnection],
) -> None:
    closed = set(pool.idle)
    await server.stop()
    await server.restart()
    await wait_until(lambda: len(dropped) == WARM)
    await wait_until(lambda: len(pool.idle) == WARM)
    assert closed.isdisjoint(pool.idle)
    assert not pinged


async def test_closed_connection_is_not_reused(
    endpoint: Endpoint, server: BackendServer, dropped: list[str]
) -> None:
    pool = ServerPool(endpoint, 2, 0, lambda server, why: dropped.append(why))
    first = await pool.acquire(2.0)
    assert isinstance(first, ServerConnection)
    pool.release(first)
    await server.stop()
    await server.restart()
    await wait_until(lambda: first.ended)
    second = await pool.acquire(2.0)
    assert isinstance(second, ServerConnection)
    assert second is not first
    assert dropped == ["lost"]
    pool.release(second)
    await pool.close()


async def test_close_ends_maintenance_that_lost_its_cancellation(
    endpoint: Endpoint, monkeypatch: pytest.MonkeyPatch
) -> None:
    opening = asyncio.Event()

    async def lose_cancellation(
        endpoint: Endpoint, timeout_seconds: float
    ) -> ConnectFailed:
        # As asyncio.wait_for does if its result arrives at the same time.
        opening.set()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(2 * CLOSE_TIMEOUT_SECONDS)
        return ConnectFailed(False, "no answer")

    monkeypatch.setattr(ServerConnection, "open", lose_cancellation)
    pool = ServerPool(endpoint, WARM, WARM)
    pool.start()
    await opening.wait()
    async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS) as timeout:
        await pool.close()
    # The timeout ends a wait that ignored its cancellation without an error.
    assert not timeout.expired()
    assert pool.maintenance_task is not None and pool.maintenance_task.done()
