"""Statements, transactions and retries on a full server, on a virtual clock."""

import asyncio
import collections
import itertools
import random

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.seams.server_connection import NotOpened, OpenFailure
from jackdawcrank_policy.sessions import SessionContext
from jackdawcrank_policy.waiting import WaitLimits
from jackdawcrank_standins.history.virtual_time_loop import run_virtual

from .account_load import OPEN_SECONDS, SERVER
from .conftest import FakeConnection

BEGIN_SECONDS = 0.001
BACKOFF_SECONDS = 0.02
RATES = [30, 25, 20, 15, 10, 8, 6, 5, 4, 3, 3, 2, 2, 2] + [1] * 6
ACCOUNTS = {f"a{rank}": float(rate) for rank, rate in enumerate(RATES)}


@attrs.frozen
class Kind:
    """A kind of statement of the reservations customer; times in seconds."""

    priority: int
    weight: float
    seconds: float
    objective: float
    timeout: float
    deadline: float
    in_time: float
    late: float
    transactions: float


KINDS = (
    Kind(0, 47, 0.006, 0.251, 0.8, 3.0, 3.5, 0.14, 0.25),
    Kind(1, 221, 0.018, 0.501, 0.8, 3.0, 1.9, 0.09, 0.12),
    Kind(2, 82, 0.030, 1.201, 2.0, 6.0, 0.47, 0.07, 0.10),
)


@attrs.frozen
class Load:
    """Two seconds of usual load, a burst of 6 s and 2 s of usual load.

    Attributes:
      rate: Operations per second of the usual load.
      kinds: Factors of the kinds' rates in the burst.
      accounts: The weights of the accounts.
      hot: Factors of accounts' rates in the burst.
      holding: Accounts whose operations are all transactions.
      pause: Mean pause between a transaction's statements, in seconds.
      slots: The server's slots.
      connections: The pool's limit.
      accepts: How many connections the server accepts from this home.
      holds: How many statements the server holds before it refuses more.
      slower: Factor of the service times.
    """

    rate: float = 110.0
    kinds: tuple[float, float, float] = (1.0, 1.0, 1.0)
    accounts: dict[str, float] = ACCOUNTS
    hot: dict[str, float] = attrs.Factory(dict)
    holding: frozenset[str] = frozenset()
    pause: float = 0.05
    slots: int = 4
    connections: int = 16
    accepts: int = 99
    holds: int = 10
    slower: float = 1.0


@attrs.frozen
class Operation:
    """One operation: its service times and the pauses between them."""

    at: float
    account: str
    kind: Kind
    seconds: list[float]
    pauses: list[float]
    retries: list[float]


def operations(load: Load, seed: int) -> list[Operation]:
    """Return the same operations whatever the server makes of them."""
    chance = random.Random(seed)
    found = []
    for start, end, burst in ((0, 2, False), (2, 8, True), (8, 10, False)):
        kinds = [
            one.weight * (factor if burst else 1.0)
            for one, factor in zip(KINDS, load.kinds, strict=True)
        ]
        accounts = {
            name: weight * (load.hot.get(name, 1.0) if burst else 1.0)
            for name, weight in load.accounts.items()
        }
        rate = load.rate * sum(kinds) / sum(one.weight for one in KINDS)
        rate *= sum(accounts.values()) / sum(load.accounts.values())
        at = start + chance.expovariate(rate)
        while at < end:
            account = chance.choices([*accounts], [*accounts.values()])[0]
            kind = chance.choices(KINDS, kinds)[0]
            holds = chance.random() < kind.transactions
            count = 3 if holds or account in load.holding else 1
            mean = kind.seconds * load.slower
            found.append(
                Operation(
                    at,
                    account,
                    kind,
                    [chance.expovariate(1 / mean) for _ in range(count)],
                    [chance.expovariate(1 / load.pause) for _ in range(count)],
                    [chance.uniform(0.1, 0.4) for _ in range(2)],
                )
            )
            at += chance.expovariate(rate)
    return found


class Played:
    """A server, its callers and what they got.

    Attributes:
      worth: The value that the callers got.
      counts: The operations in time, late and lost, by account and in all.
      limited: Whether the pool limits transactions.
    """

    def __init__(
        self, pool_class: type[ConnectionPool], load: Load, limited: bool
    ) -> None:
        self.load = load
        self.limited = limited
        self.slots = asyncio.Semaphore(load.slots)
        self.opened: list[FakeConnection] = []
        self.opening = 0
        self.refused = 0
        self.held = 0
        self.worth = 0.0
        self.counts: collections.Counter = collections.Counter()
        self.pool = pool_class(
            SERVER,
            self,
            load.connections,
            2.0 * load.slots,
            DecisionLog("vm1"),
            lambda: None,
        )
        self.loop = asyncio.get_running_loop()

    async def open(
        self, server, timeout_seconds, account=""
    ) -> FakeConnection | NotOpened:
        self.opened = [one for one in self.opened if not one.closed]
        if len(self.opened) + self.opening >= self.load.accepts:
            self.refused += 1
            return NotOpened(OpenFailure.FULL)
        self.opening += 1
        await self.work(OPEN_SECONDS)
        self.opening -= 1
        self.opened.append(FakeConnection(account=account))
        return self.opened[-1]

    async def work(self, seconds: float) -> None:
        async with self.slots:
            await asyncio.sleep(seconds)

    async def statement(self, seconds: float) -> bool:
        """Run a statement; return False if the server refuses it as full."""
        if self.held >= self.load.holds:
            self.pool.limiter.refused()
            return False
        self.held += 1
        await self.work(seconds)
        self.held -= 1
        return True

    async def run(self, one: Operation) -> float | None:
        """Return how long the caller paused; None if refused."""
        start, kind = self.loop.time(), one.kind
        for refusals in itertools.count():
            limits = WaitLimits(
                kind.priority,
                start + 0.75 * kind.timeout,
                start + 0.25 * kind.timeout,
            )
            holds = len(one.seconds) > 1
            got = await self.pool.acquire(
                SessionContext(),
                limits,
                one.account,
                holds and self.limited,
            )
            if not isinstance(got, FakeConnection):
                return None
            assert got.account == one.account
            first = BEGIN_SECONDS if holds else one.seconds[0]
            if await self.statement(first):
                break
            self.pool.release(got)
            await asyncio.sleep(BACKOFF_SECONDS * 2 ** min(refusals, 4))
            if self.loop.time() > start + kind.timeout:
                return None
        if not holds:
            self.pool.release(got)
            return 0.0
        self.pool.end_statement(got)
        for seconds, pause in zip(one.seconds, one.pauses, strict=True):
            await asyncio.sleep(pause)
            if not await self.in_transaction(got, seconds, kind.timeout):
                self.pool.release(got)
                return None
        self.pool.release(got)
        return sum(one.pauses)

    async def in_transaction(
        self, connection: FakeConnection, seconds: float, timeout: float
    ) -> bool:
        """Run a statement of a transaction, again while the server is full."""
        end = self.loop.time() + timeout
        while await self.pool.begin_statement(connection, end):
            ran = await self.statement(seconds)
            self.pool.end_statement(connection)
            if ran:
                return True
            await asyncio.sleep(BACKOFF_SECONDS)
        return False

    async def call(self, one: Operation) -> None:
        """Run an operation, at most three times until its deadline."""
        await asyncio.sleep(one.at)
        paused = await self.run(one)
        for delay in one.retries:
            if paused is None:
                await asyncio.sleep(delay)
                paused = await self.run(one)
        waited = self.loop.time() - one.at - (paused or 0.0)
        got = "late"
        if paused is None or waited > one.kind.deadline:
            got = "lost"
        elif waited <= one.kind.objective:
            got = "in time"
            self.worth += one.kind.in_time
        else:
            self.worth += one.kind.late
        self.counts[got] += 1
        self.counts[one.account, got] += 1
        self.counts[one.kind.priority, got] += 1


def play(
    pool_class: type[ConnectionPool], load: Load, seed: int, limited: bool
) -> Played:
    async def run() -> Played:
        server = Played(pool_class, load, limited)
        async with asyncio.TaskGroup() as group:
            for one in operations(load, seed):
                group.create_task(server.call(one))
        assert not server.pool.in_use and not server.pool.transactions
        return server

    return run_virtual(run())
