"""Load of several client accounts on one server, on a virtual clock."""

import asyncio
import collections
import functools
import random

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.connection_opening import MAX_OPENING
from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.relay.connection_requests import Waiter
from jackdawcrank.relay.pool_connections import IdleConnection
from jackdawcrank.seams.server_connection import NotOpened
from jackdawcrank_policy.catalog import ListedServer
from jackdawcrank_policy.sessions import SessionContext
from jackdawcrank_policy.waiting import WaitLimits
from jackdawcrank_policy.waiting.fair_wait_queue import FairWaitQueue
from jackdawcrank_standins.history.virtual_time_loop import run_virtual

from .conftest import FakeConnection

SLOTS = 4
CONNECTIONS = 16
OPEN_SECONDS = 0.012
SERVER = ListedServer(
    "s1", "plots", "127.0.0.1", 1, "north-a", SLOTS, False, True, 0, 1
)


@attrs.frozen
class Work:
    """One kind of statement: time in a slot, objective and time limit."""

    priority: int
    seconds: float
    objective: float
    timeout: float


WORK = (
    Work(0, 0.006, 0.251, 0.8),
    Work(1, 0.018, 0.501, 0.8),
    Work(2, 0.030, 1.201, 2.0),
)


class ArrivalQueue(FairWaitQueue):
    """Serves by priority and arrival, whatever the account."""

    def enqueue(self, priority, deadline, item, *_order):
        return super().enqueue(priority, deadline, item)

    def ahead_of(self, priority, *_order):
        return super().ahead_of(priority)


class SimplePool(ConnectionPool):
    """The baseline: order of arrival; the oldest idle connection is closed."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.queue = ArrivalQueue()
        self.limiter.queue = ArrivalQueue()

    def release(self, connection) -> None:
        self.check_in(connection)
        now = self.loop.time()
        while (waiter := self.queue.head(now)) is not None:
            if waiter.item.account != connection.account:
                break
            self.queue.pop(now)
            if not waiter.item.granted.done():
                waiter.item.granted.set_result(connection)
                return
        self.idle.append(IdleConnection(connection, now))
        connection.on_closed = functools.partial(self.idle_closed, connection)
        if waiter is not None:
            self.open_more()

    def open_more(self) -> None:
        waiter: Waiter | None = self.queue.head(self.loop.time())
        if not self.limiter.has_room() or waiter is None:
            return
        if self.opening >= MAX_OPENING:
            return
        if self.count >= self.limit and self.idle:
            self.take(0).close()
            self.count -= 1
        if self.count < self.limit:
            self.start_opening(waiter.item.account)


@attrs.define
class Counts:
    """What the callers of one account got."""

    in_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def sent(self) -> int:
        return self.in_time + self.late + self.refused


class LoadedServer:
    """A server with slots, which openings occupy too, and its callers.

    Attributes:
      counts: What the callers of each account got.
      opened: Number of connections opened.
    """

    def __init__(self, pool_class: type[ConnectionPool], seed: int) -> None:
        self.slots = asyncio.Semaphore(SLOTS)
        self.random = random.Random(seed)
        self.counts: dict[str, Counts] = collections.defaultdict(Counts)
        self.opened = 0
        self.pool = pool_class(
            SERVER,
            self,
            CONNECTIONS,
            2.0 * SLOTS,
            DecisionLog("vm1"),
            lambda: None,
        )

    async def open(
        self, server: ListedServer, timeout_seconds: float, account: str = ""
    ) -> FakeConnection | NotOpened:
        async with self.slots:
            await asyncio.sleep(OPEN_SECONDS)
        self.opened += 1
        return FakeConnection(account=account)

    async def call(self, account: str) -> None:
        work = self.random.choices(WORK, (0.7, 0.2, 0.1))[0]
        start = asyncio.get_running_loop().time()
        limits = WaitLimits(
            work.priority,
            start + 0.75 * work.timeout,
            start + 0.25 * work.timeout,
        )
        got = await self.pool.acquire(SessionContext(), limits, account)
        counts = self.counts[account]
        if not isinstance(got, FakeConnection):
            counts.refused += 1
            return
        assert got.account == account
        async with self.slots:
            await asyncio.sleep(work.seconds)
        self.pool.release(got)
        if asyncio.get_running_loop().time() - start <= work.objective:
            counts.in_time += 1
        else:
            counts.late += 1

    async def send(self, rates: dict[str, float], seconds: float) -> None:
        total = sum(rates.values())
        end = asyncio.get_running_loop().time() + seconds
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < end:
                await asyncio.sleep(self.random.expovariate(total))
                account = self.random.choices([*rates], [*rates.values()])[0]
                group.create_task(self.call(account))


def play(
    pool_class: type[ConnectionPool],
    seed: int,
    usual: dict[str, float],
    burst: dict[str, float],
    seconds: float,
) -> LoadedServer:
    """Play usual load for a while, then count what a burst gets."""

    async def run() -> LoadedServer:
        server = LoadedServer(pool_class, seed)
        await server.send(usual, 2.0)
        server.counts.clear()
        await server.send(burst, seconds)
        return server

    return run_virtual(run())
