"""A model of VMs that run the service on virtual time."""

import asyncio
import bisect
import functools
import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.account_limits import AccountLimits
from jackdawcrank.relay.home_messages import Kind, unpack
from jackdawcrank.relay.relay_settings import AccountBounds
from jackdawcrank.tasks import cancel_and_wait
from jackdawcrank_policy.accounts.account_allowance import Admission
from jackdawcrank_policy.catalog import AccountSpec
from jackdawcrank_policy.homes import Member
from jackdawcrank_standins.history.virtual_time_loop import run_virtual

BOUNDS = AccountBounds(None, 5.0, 0.1, 20.0)
EXACT = AccountBounds(None, 5.0, 0.0, 0.0)
LOSS = 0.01


def spec(name: str, rate: float, burst: float) -> AccountSpec:
    return AccountSpec(name, frozenset(), rate, burst)


class Cluster:
    def __init__(
        self, count: int, seed: int, bounds: AccountBounds, counting: int = 3
    ) -> None:
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.bounds = bounds
        self.accounts = {"a": spec("a", 100.0, 40.0)}
        # The first VMs are the largest, so that they count.
        self.members = {
            f"vm{one}": Member(
                f"vm{one}", "", 1, "", "", 2.0 if one < counting else 1.0
            )
            for one in range(count)
        }
        self.services: dict[str, AccountLimits | None] = {}
        self.frozen_until: dict[str, float] = {}
        self.side: dict[str, int] = {}
        self.arrives: dict[tuple[str, str], float] = {}
        self.ran: dict[str, list[float]] = {}
        self.refused: dict[str, int] = {}
        self.waits: list[float] = []
        self.expired = 0
        self.outage_until = 0.0
        self.tasks: set[asyncio.Task[Any]] = set()
        for vm in self.members:
            self.start(vm)

    def start(self, vm: str) -> None:
        rows = SimpleNamespace(
            own=self.members[vm],
            members=self.members,
            image_loaded=True,
            complete=True,
        )
        service = AccountLimits(
            self.bounds,
            lambda: self.accounts,
            rows,  # type: ignore[arg-type]
            DecisionLog(vm),
            self.rng,
            self.loop.time,
        )
        service.router = SimpleNamespace(  # type: ignore[assignment]
            routes={},
            stream_to=functools.partial(self.stream, vm),
            connected_stream=self.connect,
        )
        flush = service.flush

        def flush_unless_frozen() -> None:
            delay = self.frozen_until.get(vm, 0.0) - self.loop.time()
            if delay <= 0:
                flush()
            else:
                service.flush_handle = None
                self.loop.call_later(delay, service.flush)

        service.flush = flush_unless_frozen  # type: ignore[method-assign]
        self.services[vm] = service
        self.run(self.ticks(vm, service))

    def run(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def ticks(self, vm: str, service: AccountLimits) -> None:
        await asyncio.sleep(self.rng.uniform(0, 0.1))
        while self.services[vm] is service:
            if self.loop.time() >= self.frozen_until.get(vm, 0.0):
                await service.tick(0.0)
            await asyncio.sleep(0.1)

    async def connect(self, _member: Member) -> None:
        return None

    def stream(self, source: str, target: str) -> Any:
        if self.services[target] is None:
            return None
        return SimpleNamespace(
            send=functools.partial(self.send, source, target)
        )

    def send(self, source: str, target: str, body: bytes) -> None:
        cut = self.side.get(source, 0) != self.side.get(target, 0)
        if cut or self.rng.random() < LOSS:
            return
        pair = (source, target)
        at = self.loop.time() + self.rng.uniform(0.001, 0.05)
        self.arrives[pair] = max(at, self.arrives.get(pair, 0.0))
        process = self.services[target]
        self.loop.call_at(
            self.arrives[pair], self.deliver, source, target, process, body
        )

    def deliver(
        self, source: str, target: str, process: Any, body: bytes
    ) -> None:
        service = self.services[target]
        if service is None or service is not process:
            return
        thaw = self.frozen_until.get(target, 0.0)
        if self.loop.time() < thaw:
            self.loop.call_at(thaw, self.deliver, source, target, process, body)
            return
        _, kind, fields = unpack(body)
        if kind is Kind.ALLOWANCE_REQUEST:
            self.send(target, source, service.request_received(fields))
        else:
            service.grant_received(fields)

    async def operation(self, vm: str, account: str) -> None:
        service = self.services[vm]
        if service is None or self.loop.time() < self.frozen_until.get(vm, 0.0):
            return
        began = self.loop.time()
        admitted = await service.admit(account, "", 0.8)
        if self.services[vm] is not service:
            return
        if isinstance(admitted, Admission):
            if self.rng.random() < 0.02:
                await asyncio.sleep(self.rng.uniform(0, 0.3))
                service.give_back(admitted)
                return
            self.waits.append(self.loop.time() - began)
            if self.loop.time() < self.outage_until:
                await asyncio.sleep(self.outage_until - self.loop.time())
            if not service.begin_run(admitted):
                self.expired += 1
                return
            # A frozen process runs the operation when it goes on.
            now = max(self.loop.time(), self.frozen_until.get(vm, 0.0))
            self.ran.setdefault(account, []).append(now)
            service.ran(admitted)
        else:
            assert "retry_after_ms=" in admitted.detail
            self.refused[account] = self.refused.get(account, 0) + 1

    async def demand(
        self, account: str, rate: Callable[[], float], seconds: float
    ) -> None:
        """Send operations to VMs of which a few, that change, get most."""
        end = self.loop.time() + seconds
        while self.loop.time() < end:
            await asyncio.sleep(self.rng.expovariate(rate()))
            names = list(self.members)
            first = int(self.loop.time() / 2) % len(names)
            names = names[first:] + names[:first]
            index = min(len(names) - 1, int(self.rng.expovariate(0.7)))
            self.run(self.operation(names[index], account))

    def kill(self, vm: str, seconds: float) -> None:
        service = self.services[vm]
        if service is not None:
            self.services[vm] = None
            self.run(service.close())
            self.loop.call_later(seconds, self.start, vm)

    async def faults(self, seconds: float) -> None:
        """Kill, freeze and cut off VMs, mostly those that count."""
        end = self.loop.time() + seconds
        names = list(self.members)
        while self.loop.time() < end:
            await asyncio.sleep(self.rng.uniform(0.3, 3.0))
            fault = self.rng.randrange(5)
            some = self.rng.sample(names[:4], self.rng.randint(1, 2))
            if fault == 0:
                for vm in some:
                    self.kill(vm, self.rng.uniform(0.7, 1.6))
            elif fault == 1:
                thaw = self.loop.time() + self.rng.uniform(0.2, 2.5)
                self.frozen_until.update(dict.fromkeys(some, thaw))
            elif fault == 2:
                self.side = dict.fromkeys(some, 1)
            elif fault == 3:
                self.side = {vm: self.rng.randrange(2) for vm in names}
            else:
                self.side = {}
            if self.rng.random() < 0.1:
                for vm in names:
                    self.kill(vm, self.rng.uniform(0.7, 1.6))

    async def stop(self) -> None:
        for vm, service in self.services.items():
            self.services[vm] = None
            if service:
                await service.close()
        await cancel_and_wait(self.tasks)


def most_in_window(times: list[float], seconds: float, after: float) -> int:
    times = sorted(one for one in times if one >= after)
    return max(
        (
            bisect.bisect_right(times, start + seconds) - index
            for index, start in enumerate(times)
        ),
        default=0,
    )


def allowed(one: AccountSpec, bounds: AccountBounds) -> float:
    whole = one.rate_per_second * bounds.window_seconds + one.burst
    return whole * (1 + bounds.excess_share) + bounds.slack


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("rate", [4.0, 30.0])
@pytest.mark.parametrize("bounds", [BOUNDS, EXACT])
def test_no_window_exceeds_the_limit_under_faults(
    seed: int, rate: float, bounds: AccountBounds
) -> None:
    """Two VMs that count at once, or a successor that starts full, exceed it.

    Killed, frozen and cut off counting VMs, all VMs restarted and a limit that
    is lowered halfway, at seven times the rate.
    """

    async def work() -> None:
        cluster = Cluster(8, seed, bounds)
        one = spec("a", rate, 2 * rate)
        cluster.accounts = {"a": one}
        cluster.run(cluster.faults(40.0))
        await cluster.demand("a", lambda: 7 * rate, 25.0)
        assert most_in_window(cluster.ran["a"], 5.0, 0.0) <= allowed(
            one, bounds
        )
        lowered = spec("a", rate / 3, rate)
        cluster.accounts = {"a": lowered}
        at = cluster.loop.time()
        await cluster.demand("a", lambda: 7 * rate, 15.0)
        assert most_in_window(cluster.ran["a"], 5.0, at + 5.0) <= allowed(
            lowered, bounds
        )
        await cluster.stop()

    run_virtual(work())


@pytest.mark.parametrize("seconds", [0.3, 0.9, 2.5])
def test_operations_that_wait_for_a_server_stay_within_the_limit(
    seconds: float,
) -> None:
    """They run together when the server is back, after new ones took tokens."""

    async def work() -> None:
        cluster = Cluster(3, 1, EXACT)
        one = spec("a", 20.0, 20.0)
        cluster.accounts = {"a": one}
        await asyncio.sleep(2.0)
        for _ in range(5):
            cluster.outage_until = cluster.loop.time() + seconds
            await cluster.demand("a", lambda: 140.0, seconds + 1.0)
        await cluster.stop()
        most = most_in_window(cluster.ran["a"], 5.0, 0.0)
        assert most <= allowed(one, EXACT)
        # Tokens of operations that wait too long are not lost.
        assert len(cluster.ran["a"]) >= 5 * 20.0
        assert (cluster.expired > 0) == (seconds > 0.6)

    run_virtual(work())


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(("rate", "burst"), [(8.0, 8.0), (100.0, 40.0)])
def test_demand_below_the_limit_is_admitted(
    seed: int, rate: float, burst: float
) -> None:
    """Tokens that lie unused on some VMs would be missing on others."""

    async def work() -> None:
        cluster = Cluster(12, seed, BOUNDS)
        cluster.accounts = {"a": spec("a", rate, burst)}
        await asyncio.sleep(2.0)
        await cluster.demand("a", lambda: 0.7 * rate, 30.0)
        await cluster.stop()
        ran, refused = len(cluster.ran["a"]), cluster.refused.get("a", 0)
        assert ran / (ran + refused) >= 0.97
        assert sum(cluster.waits) / len(cluster.waits) < 0.08

    run_virtual(work())


def test_a_hot_account_does_not_affect_others() -> None:
    """Requests for one account must not crowd out those for others."""

    async def work() -> None:
        cluster = Cluster(8, 1, BOUNDS)
        names = [f"a{one}" for one in range(20)]
        cluster.accounts = {one: spec(one, 8.0, 8.0) for one in names}
        cluster.accounts["hot"] = spec("hot", 20.0, 10.0)
        await asyncio.sleep(2.0)
        for one in names:
            cluster.run(cluster.demand(one, lambda: 4.0, 20.0))
        await cluster.demand("hot", lambda: 7 * 14.0, 20.0)
        await cluster.stop()
        ran = sum(len(cluster.ran[one]) for one in names)
        refused = sum(cluster.refused.get(one, 0) for one in names)
        assert ran / (ran + refused) >= 0.99
        assert len(cluster.ran["hot"]) >= 20.0 * 20.0 * 0.9
        assert most_in_window(cluster.ran["hot"], 5.0, 0.0) <= allowed(
            cluster.accounts["hot"], BOUNDS
        )

    run_virtual(work())


@pytest.mark.parametrize("seed", range(4))
def test_a_lost_counting_vm_is_replaced(seed: int) -> None:
    """Without a successor, an account is refused until its VM is back."""

    async def work() -> None:
        cluster = Cluster(8, seed, BOUNDS)
        await cluster.demand("a", lambda: 50.0, 3.0)
        service = cluster.services["vm7"]
        assert service is not None
        cluster.kill(service.ranked("a")[0], 100.0)
        await cluster.demand("a", lambda: 50.0, 1.5)
        ran = len(cluster.ran["a"])
        refused = cluster.refused.get("a", 0)
        await cluster.demand("a", lambda: 50.0, 5.0)
        more = len(cluster.ran["a"]) - ran
        again = cluster.refused.get("a", 0) - refused
        assert more / (more + again) >= 0.95
        await cluster.stop()

    run_virtual(work())


def test_a_token_given_back_serves_an_operation_that_waits() -> None:
    """The operation would be refused although its VM holds a token."""

    async def work() -> None:
        cluster = Cluster(8, 1, EXACT)
        await asyncio.sleep(2.0)
        service = cluster.services["vm7"]
        assert service is not None
        service.give_back(await admitted(service))
        held = []
        while service.states["a"].allowance.lots:
            held.append(await admitted(service))
        for vm in service.candidates:
            cluster.kill(vm, 100.0)
        waiting = asyncio.create_task(service.admit("a", "", 0.8))
        await asyncio.sleep(0.05)
        assert not waiting.done()
        service.give_back(held[-1])
        assert isinstance(await waiting, Admission)
        # Only one token was given back.
        assert not isinstance(await service.admit("a", "", 0.8), Admission)
        await cluster.stop()

    run_virtual(work())


async def admitted(service: AccountLimits) -> Admission:
    admission = await service.admit("a", "", 0.8)
    assert isinstance(admission, Admission)
    return admission
