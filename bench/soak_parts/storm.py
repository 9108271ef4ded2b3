"""Faults one after the other and two at once."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs

from jackdawcrank.embedded import EmbeddedSystem
from jackdawcrank_standins.faults import Fault, FaultKind

FAULT_SECONDS = 4.0
REST_SECONDS = 2.5
Apply = Callable[["Storm"], Awaitable[None]]


@attrs.define
class Storm:
    """Switches faults of one system.

    Attributes:
      system: The system.
      rng: Chooses targets.
      applied: The faults that were switched: second of the run and fault.
      began_at: When the run began, on the loop's clock.
    """

    system: EmbeddedSystem
    rng: random.Random
    applied: list[str] = attrs.field(factory=list)
    began_at: float = 0.0

    async def run(self, until: float) -> None:
        """Switch faults until a time on the loop's clock, then heal.

        Single faults take the first two thirds of the time, pairs the rest.
        """
        loop = asyncio.get_running_loop()
        self.began_at = loop.time()
        pairs_from = until - (until - self.began_at) / 3
        queue: list[str] = []
        await asyncio.sleep(REST_SECONDS)
        while loop.time() + FAULT_SECONDS + REST_SECONDS < until:
            count = 1 if loop.time() < pairs_from else 2
            while len(queue) < count:
                names = list(FAULTS)
                self.rng.shuffle(names)
                queue.extend(names)
            names, queue = queue[:count], queue[count:]
            await self.strike(names)
            await asyncio.sleep(REST_SECONDS)
        await self.heal()

    async def strike(self, names: list[str]) -> None:
        """Switch some faults at once and heal them after a while."""
        await asyncio.gather(*(FAULTS[name](self) for name in names))
        await asyncio.sleep(FAULT_SECONDS)
        await self.heal()

    async def heal(self) -> None:
        """End all faults."""
        self.note("heal")
        await self.system.platform.board.apply(Fault(FaultKind.HEAL))

    def primary(self) -> str:
        """Return the primary of one of the groups."""
        groups = list(self.system.groups.values())
        group = self.rng.choice(groups)
        return self.system.primary_of(group.name) or next(iter(group.servers))

    def replica(self) -> str:
        """Return a server that is not a primary."""
        group = self.rng.choice(list(self.system.groups.values()))
        primary = self.system.primary_of(group.name)
        return self.rng.choice([n for n in group.servers if n != primary])

    def note(self, what: str) -> None:
        """Note a fault with the second of the run."""
        second = asyncio.get_running_loop().time() - self.began_at
        self.applied.append(f"{second:.1f} {what}")

    async def apply(self, fault: Fault) -> None:
        """Switch one fault."""
        self.note(f"{fault.kind} {fault.server or ''}".strip())
        await self.system.platform.board.apply(fault)


def on_primary(kind: FaultKind, seconds: float | None = None) -> Apply:
    """Return what switches a fault of a primary."""

    async def apply(storm: Storm) -> None:
        await storm.apply(Fault(kind, server=storm.primary(), seconds=seconds))

    return apply


def on_replica(kind: FaultKind, seconds: float | None = None) -> Apply:
    """Return what switches a fault of a replica."""

    async def apply(storm: Storm) -> None:
        await storm.apply(Fault(kind, server=storm.replica(), seconds=seconds))

    return apply


def on_store(
    kind: FaultKind,
    seconds: float | None = None,
    count: int = 1,
    hang: bool = False,
) -> Apply:
    """Return what switches a fault of the platform's service."""

    async def apply(storm: Storm) -> None:
        fault = Fault(kind, seconds=seconds, count=count, hang=hang)
        await storm.apply(fault)

    return apply


async def replace_proxy(storm: Storm) -> None:
    """Shut a proxy down gracefully and start another on its VM."""
    vm = storm.rng.choice(list(storm.system.proxies))
    storm.note(f"replace_proxy {vm}")
    proxy = storm.system.proxies.pop(vm)
    await proxy.drain("signal")
    await proxy.stopped.wait()
    await storm.system.start_proxy(vm)


FAULTS: dict[str, Apply] = {
    "partition_primary": on_primary(FaultKind.PARTITION),
    "pause_primary": on_primary(FaultKind.PAUSE),
    "stop_primary": on_primary(FaultKind.STOP),
    "silence_primary": on_primary(FaultKind.SILENCE),
    "slow_primary": on_primary(FaultKind.SLOW, seconds=0.05),
    "lag_replica": on_replica(FaultKind.LAG, seconds=3.0),
    "stop_replica": on_replica(FaultKind.STOP),
    "store_stop": on_store(FaultKind.STORE_STOP),
    "store_hang": on_store(FaultKind.STORE_STOP, hang=True),
    "store_slow": on_store(FaultKind.STORE_SLOW, seconds=0.8),
    "store_lose_answers": on_store(FaultKind.STORE_LOSE_ANSWER, count=3),
    "replace_proxy": replace_proxy,
}
