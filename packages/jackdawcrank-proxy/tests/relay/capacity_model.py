"""Homes that send to one server, on a virtual clock."""

import asyncio
import functools
import itertools
import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.capacity_shares import TICK_SECONDS, CapacityShares
from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.relay.home_messages import Kind, unpack
from jackdawcrank.relay.statement_runner import MIN_ATTEMPT_SECONDS
from jackdawcrank_policy.catalog import ListedServer
from jackdawcrank_policy.sessions import SessionContext
from jackdawcrank_policy.waiting import WaitLimits
from jackdawcrank_standins.history.virtual_time_loop import run_virtual

from .conftest import FakeConnection

SLOTS = 4
# `refusal_backoff` states 24 to 48 statements for 3 to 6 slots.
SERVER_QUEUE = 8 * SLOTS
CONNECTIONS = 16
OPEN_SECONDS = 0.012
# In this time of usual load, windows grow to the connection limit today.
USUAL_SECONDS = 45.0
BURST_SECONDS = 8.0
SERVER = ListedServer(
    "s1", "plots", "127.0.0.1", 1, "north-a", SLOTS, False, True, 0, 1
)
# One-way, within a region and between regions; two homes a region.
NEAR, FAR = 0.0014, 0.008


@attrs.frozen
class Work:
    """A kind: share of arrivals, slot time, objective, time limit, values."""

    priority: int
    rate: float
    seconds: float
    objective: float
    timeout: float
    values: tuple[float, float]


WORK = (
    Work(0, 47.0, 0.006, 0.251, 3.0, (3.5, 0.14)),
    Work(1, 221.0, 0.018, 0.501, 3.0, (1.9, 0.09)),
    Work(2, 82.0, 0.030, 1.201, 6.0, (0.47, 0.07)),
)


@attrs.define
class Counts:
    """What callers got, and the statements that the server refused."""

    in_time: int = 0
    late: int = 0
    unserved: int = 0
    full: int = 0
    messages: int = 0
    value: float = 0.0


class Model:
    """One server, its homes and their callers."""

    def __init__(self, homes: int, sharing: bool, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.names = [f"vm{one}" for one in range(homes)]
        self.sharing = sharing
        # Arrivals are the same whatever the homes decide.
        self.arrivals = random.Random(seed)
        self.rng = random.Random(seed + 1)
        self.slots = asyncio.Semaphore(SLOTS)
        self.at_server = 0
        self.counts = Counts()
        self.pools: dict[str, ConnectionPool] = {}
        self.services: dict[str, CapacityShares | None] = {}
        self.thaw_at: dict[str, float] = {}
        self.side: dict[str, int] = {}
        self.ranked = tuple(self.names)
        self.tasks: set[asyncio.Task[Any]] = set()
        for vm in self.names:
            self.start(vm)

    def start(self, vm: str) -> None:
        pool = ConnectionPool(
            SERVER,
            SimpleNamespace(open=functools.partial(self.open, vm)),  # type: ignore[arg-type]
            CONNECTIONS,
            2.0 * SLOTS / len(self.names),
            DecisionLog(vm),
            lambda: None,
        )
        self.pools[vm] = pool
        group = SimpleNamespace(name="plots", group=None, pools={"s1": pool})
        homes = SimpleNamespace(
            rows=SimpleNamespace(own=SimpleNamespace(vm=vm), members={}),
            plan=lambda _group: SimpleNamespace(homes=len(self.names)),
            homes_by_weight=lambda _group: self.ranked,
        )
        service = CapacityShares(
            SimpleNamespace(groups={"plots": group}),  # type: ignore[arg-type]
            homes,  # type: ignore[arg-type]
            DecisionLog(vm),
            self.loop.time,
        )
        service.router = SimpleNamespace(  # type: ignore[assignment]
            routes={}, stream_to=functools.partial(self.stream, vm)
        )
        self.services[vm] = service
        if self.sharing:
            self.run(self.ticks(vm, service))

    def run(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def ticks(self, vm: str, service: CapacityShares) -> None:
        await asyncio.sleep(self.rng.uniform(0, TICK_SECONDS))
        while self.services[vm] is service:
            if not self.frozen(vm):
                await service.tick(0.0)
            await asyncio.sleep(TICK_SECONDS)

    def frozen(self, vm: str) -> bool:
        return self.loop.time() < self.thaw_at.get(vm, 0.0)

    def delay(self, source: str, target: str) -> float:
        """Return the one-way latency; the server is beside the first home."""
        one, other = (self.names.index(vm) // 2 for vm in (source, target))
        return NEAR if one == other else FAR

    def stream(self, source: str, target: str) -> Any:
        if self.services[target] is None:
            return None
        return SimpleNamespace(
            send=functools.partial(self.send, source, target)
        )

    def send(self, source: str, target: str, body: bytes) -> None:
        self.counts.messages += 1
        if self.side.get(source, 0) == self.side.get(target, 0):
            self.loop.call_later(
                self.delay(source, target),
                self.deliver,
                source,
                target,
                self.services[target],
                body,
            )

    def deliver(self, source: str, target: str, to: Any, body: bytes) -> None:
        service = self.services[target]
        if service is None or service is not to:
            return
        if self.frozen(target):
            self.loop.call_at(
                self.thaw_at[target], self.deliver, source, target, to, body
            )
            return
        _, kind, fields = unpack(body)
        if kind is Kind.CAPACITY_REPORT:
            self.send(target, source, service.report_received(fields))
        else:
            service.grant_received(fields)

    async def open(
        self, vm: str, server: Any, timeout: float, account: str = ""
    ) -> FakeConnection:
        delay = self.delay(vm, "vm0")
        await asyncio.sleep(delay)
        async with self.slots:
            await asyncio.sleep(OPEN_SECONDS)
        await asyncio.sleep(delay)
        return FakeConnection(account=account)

    async def serve(self, vm: str, seconds: float) -> bool:
        """Run a statement; return False if the server is full."""
        delay = self.delay(vm, "vm0")
        await asyncio.sleep(delay)
        full = self.at_server >= SLOTS + SERVER_QUEUE
        if not full:
            self.at_server += 1
            async with self.slots:
                await asyncio.sleep(seconds)
            self.at_server -= 1
        await asyncio.sleep(delay)
        return not full

    async def call(self, vm: str, work: Work, seconds: float) -> None:
        # Statements of the calm phase are not counted with the burst.
        counts = self.counts
        start = self.loop.time()
        deadline = start + work.timeout
        limits = WaitLimits(
            work.priority,
            deadline - 3 * MIN_ATTEMPT_SECONDS,
            start + 0.25 * work.timeout,
        )
        refusals = 0
        while self.loop.time() < limits.deadline:
            pool = self.pools[vm]
            got = await pool.acquire(SessionContext(), limits)
            if not isinstance(got, FakeConnection):
                break
            served = await self.serve(vm, seconds)
            if not served:
                counts.full += 1
                pool.limiter.refused()
            pool.release(got)
            if served:
                late = self.loop.time() - start > work.objective
                counts.late += late
                counts.in_time += not late
                counts.value += work.values[late]
                return
            base = min(0.25, 0.03 * 2.0**refusals)
            refusals += 1
            await asyncio.sleep(base * self.rng.uniform(0.5, 1.5))
        counts.unserved += 1

    async def send_load(self, rates: "Rates", seconds: float) -> None:
        """Send statements at rates by home, which depend on the time."""
        begin = self.loop.time()
        weights = [one.rate for one in WORK]
        while (at := self.loop.time() - begin) < seconds:
            now = rates(at)
            await asyncio.sleep(self.arrivals.expovariate(sum(now.values())))
            vm = self.arrivals.choices([*now], [*now.values()])[0]
            work = self.arrivals.choices(WORK, weights)[0]
            spent = self.arrivals.expovariate(1 / work.seconds)
            # Callers of a VM that does not answer turn to another one.
            while self.services[vm] is None or self.frozen(vm):
                vm = self.names[(self.names.index(vm) + 1) % len(self.names)]
            self.run(self.call(vm, work, spent))

    def kill(self, vm: str, seconds: float) -> None:
        self.services[vm] = None
        self.loop.call_later(seconds, self.start, vm)


Rates = Callable[[float], dict[str, float]]
Fault = Callable[[Model], None]


def hot(total: float, homes: int, part: float, first: int, last: int) -> Rates:
    """The homes from first up to last get a part of all statements."""
    count = last - first
    rest = total * (1 - part) / max(1, homes - count)
    rates = {
        f"vm{one}": total * part / count if first <= one < last else rest
        for one in range(homes)
    }
    return lambda _at: rates


def shifting(total: float, homes: int) -> Rates:
    """One home gets 80%, each 2 s another one."""
    plays = [hot(total, homes, 0.8, one, one + 1) for one in range(homes)]
    return lambda at: plays[int(at / 2.0) % homes](at)


# The loads of the page: a kind's burst of 2.6 times while both replicas lag
# (230 of the 208 statements/s that the server can serve), in a region or not;
# an account's burst of 7 times; and bursts at one home alone.
LOADS: dict[str, Callable[[int], Rates]] = {
    "idle": lambda homes: hot(1.0, homes, 1.0, 0, homes),
    "usual": lambda homes: hot(88.0, homes, 1.0, 0, homes),
    "burst": lambda homes: hot(230.0, homes, 1.0, 0, homes),
    "overload": lambda homes: hot(300.0, homes, 1.0, 0, homes),
    "near region": lambda homes: hot(230.0, homes, 0.7, 0, 2),
    "far region": lambda homes: hot(230.0, homes, 0.7, 2, min(4, homes)),
    # 28 statements/s of the account and an even part of 190.
    "account": lambda homes: hot(
        218.0, homes, (190.0 / homes + 28.0) / 218.0, homes - 1, homes
    ),
    "shifting": lambda homes: shifting(230.0, homes),
    "half at one": lambda homes: hot(230.0, homes, 0.5, homes - 1, homes),
    "all at one": lambda homes: hot(230.0, homes, 0.8, homes - 1, homes),
}


def play(
    homes: int,
    sharing: bool,
    seed: int,
    load: str,
    fault: Fault = lambda _model: None,
    usual_seconds: float = USUAL_SECONDS,
) -> Counts:
    """Play usual load, so that windows grow, then count what a burst gets."""

    async def work() -> Counts:
        model = Model(homes, sharing, seed)
        await model.send_load(LOADS["usual"](homes), usual_seconds)
        model.counts = Counts()
        model.loop.call_later(1.5, fault, model)
        await model.send_load(LOADS[load](homes), BURST_SECONDS)
        # The longest time limit, after which every statement has ended.
        await asyncio.sleep(7.0)
        model.services = dict.fromkeys(model.names)
        await asyncio.sleep(1.0)
        return model.counts

    return run_virtual(work())


def main() -> None:
    """Print what callers get in every load, summed over 4 seeds."""
    for homes, name in itertools.product((3, 4, 6), LOADS):
        for sharing in (False, True):
            counts = [play(homes, sharing, seed, name) for seed in range(4)]
            total = [
                sum(one)
                for one in zip(*map(attrs.astuple, counts), strict=True)
            ]
            print(homes, name, "shared" if sharing else "today", total)


if __name__ == "__main__":
    main()
