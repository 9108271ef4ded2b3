import asyncio
import statistics

import pytest

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.seams.server_connection import NotOpened, OpenFailure
from jackdawcrank_policy.sessions import SessionContext
from jackdawcrank_policy.waiting import WaitLimits
from jackdawcrank_standins.history.virtual_time_loop import run_virtual

from .account_load import SERVER
from .conftest import FakeConnection, FakeOpener, run_ready_tasks
from .server_load import Load, Played, play

SEEDS = range(4)


class FormerPool(ConnectionPool):
    """The baseline: a refused opening closes no idle connection."""

    def close_idle_for_full(self, now: float) -> None:
        return


def home(**fields) -> Load:
    # One of six homes of a server with 4 slots.
    return Load(rate=35.0, slots=1, holds=3, **fields)


# The least gain in percent of the value that callers get; None if it may be
# below 0 by no more than its standard error.
LOADS = {
    "usual": (home(), None),
    "floor": (home(kinds=(1, 2.6, 1)), None),
    "confirm": (home(kinds=(2.6, 1, 1)), None),
    "pausing": (
        home(hot={"a1": 4.0}, holding=frozenset({"a1"}), pause=0.3),
        5.0,
    ),
    "full": (Load(rate=80.0, hot={"a1": 4.0}, accepts=6), 40.0),
}


@pytest.mark.parametrize("name", LOADS)
def test_callers_are_served_at_least_as_well_as_before(name: str) -> None:
    # Fails if the limit of transactions, or closing idle connections of other
    # accounts for a full server, costs callers more than it brings them.
    load, least = LOADS[name]
    former = [play(FormerPool, load, seed, False).worth for seed in SEEDS]
    now = [play(ConnectionPool, load, seed, True).worth for seed in SEEDS]
    gains = [
        100 * (one - other) / statistics.mean(former)
        for one, other in zip(now, former, strict=True)
    ]
    if least is None:
        least = -statistics.stdev(gains) / len(gains) ** 0.5
    assert statistics.mean(gains) >= least


def test_limit_of_transactions_helps_where_the_server_is_full() -> None:
    # Fails if connections are left free that no other account can get.
    load = Load(
        hot={"a1": 4.0}, holding=frozenset({"a1"}), pause=0.2, accepts=10
    )
    former, now = (
        sum(play(ConnectionPool, load, seed, limited).worth for seed in SEEDS)
        for limited in (False, True)
    )
    assert now >= 1.1 * former


def test_callers_without_accounts_are_served_as_before() -> None:
    # Fails if either decision changes service where no accounts are declared.
    load = home(accounts={"": 1.0}, kinds=(1, 2.6, 1), accepts=8, pause=0.2)
    former: Played = play(FormerPool, load, 1, False)
    now: Played = play(ConnectionPool, load, 1, True)
    assert former.counts == now.counts and former.worth == now.worth
    assert former.refused == now.refused > 0


async def acquire(
    pool: ConnectionPool, account: str, transaction: bool = False
) -> asyncio.Task:
    limits = WaitLimits(0, *[pool.loop.time() + 5] * 2)
    task = asyncio.create_task(
        pool.acquire(SessionContext(), limits, account, transaction)
    )
    await run_ready_tasks()
    return task


async def test_wait_for_the_limiter_ends_when_the_connection_is_lost(
    pool: ConnectionPool, opener: FakeOpener
) -> None:
    # Fails if a statement is sent on a connection that was lost while it
    # waited, so that its caller is told that a write is in doubt.
    losses = []
    pool.on_lost = lambda: losses.append(1)
    task = await acquire(pool, "")
    pool.limiter.in_flight_count = 2
    lost = await opener.complete_next_open()
    assert pool.limiter.queue.length == 1 and not task.done()
    lost.closed = True
    assert lost.on_closed is not None
    lost.on_closed()
    await run_ready_tasks()
    assert pool.limiter.queue.length == 0 and losses == [1]
    pool.limiter.leave(0.01)
    pool.open_more()
    await run_ready_tasks()
    assert await opener.complete_next_open() is await task
    assert pool.count == 1 and pool.limiter.in_flight_count == 2


@pytest.mark.parametrize("account", ["a", "b"])
def test_idle_connection_of_another_account_is_closed_for_a_full_server(
    account: str,
) -> None:
    # Fails if an account waits for as long as idle connections of others
    # occupy all that the server accepts.
    async def work() -> None:
        opener = FakeOpener()
        pool = ConnectionPool(
            SERVER, opener, 8, 4.0, DecisionLog("vm1"), lambda: None
        )
        first = await acquire(pool, "a")
        idle = FakeConnection(account="a")
        opener.pending_opens.pop().set_result(idle)
        second = await acquire(pool, account)
        opener.pending_opens.pop().set_result(NotOpened(OpenFailure.FULL))
        await run_ready_tasks()
        assert not idle.closed
        pool.release(await first)
        await run_ready_tasks()
        # A connection of the same account serves the request.
        assert idle.closed is (account == "b")
        assert second.done() is (account == "a")
        await asyncio.sleep(0.06)
        assert len(opener.pending_opens) == (account == "b")
        second.cancel()
        for one in opener.pending_opens:
            one.set_result(NotOpened(OpenFailure.FULL))
        await run_ready_tasks()

    run_virtual(work())
