"""Faults from outside, in series and overlapping."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from fault_soak.cable import Fault
from fault_soak.world import GROUP, Proxy, World

PAUSE_SECONDS = (0.2, 1.5)
LENGTH_SECONDS = (0.3, 2.5)
GRACE_SECONDS = 4.0


class Faults:
    """Picks faults by the run's seed.

    Attributes:
      world: What they strike.
      told: What was done, in order.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.rng = world.rng
        self.told: list[str] = []
        self.kinds: list[Callable[[], Awaitable[None]]] = [
            self.kill,
            self.pause,
            self.restart,
            self.reload,
            self.cable,
            self.store,
            self.reset,
            self.crash,
            self.release,
            self.deaf,
            self.lose_answers,
            self.lose_orders,
            self.configure,
            self.forget_history,
        ]

    async def run(self) -> None:
        """Strike until cancelled; up to two faults overlap."""
        async with asyncio.TaskGroup() as group:
            for _ in range(2):
                group.create_task(self.series())

    async def series(self) -> None:
        """Strike one fault after the other."""
        while True:
            await asyncio.sleep(self.rng.uniform(*PAUSE_SECONDS))
            fault = self.rng.choice(self.kinds)
            self.told.append(fault.__name__)
            await fault()

    async def last(self) -> None:
        """Wait as long as a fault lasts."""
        await asyncio.sleep(self.rng.uniform(*LENGTH_SECONDS))

    def proxy(self) -> Proxy:
        """Return any proxy."""
        return self.rng.choice(self.world.proxies)

    async def kill(self) -> None:
        """Kill a proxy and start it again."""
        proxy = self.proxy()
        self.world.signal(proxy, signal.SIGKILL)
        await self.back(proxy)

    async def restart(self) -> None:
        """Stop a proxy in order and start it again."""
        proxy = self.proxy()
        self.world.signal(proxy, signal.SIGTERM)
        await self.back(proxy)

    async def back(self, proxy: Proxy) -> None:
        """Start a proxy again once its process has ended."""
        process = proxy.process
        if process is None:
            return
        try:
            async with asyncio.timeout(GRACE_SECONDS):
                await process.wait()
        except TimeoutError:
            self.world.signal(proxy, signal.SIGKILL)
            await process.wait()
        if proxy.process is process:
            await self.world.start_proxy(proxy)

    async def pause(self) -> None:
        """Stop a proxy's processor for a while."""
        proxy = self.proxy()
        self.world.signal(proxy, signal.SIGSTOP)
        await self.last()
        self.world.signal(proxy, signal.SIGCONT)

    async def reload(self) -> None:
        """Tell a proxy that its settings changed."""
        self.world.signal(self.proxy(), signal.SIGHUP)

    async def cable(self) -> None:
        """Harm the way to a server."""
        name = self.rng.choice(list(self.world.platform.groups[GROUP].servers))
        await self.harm(name)

    async def store(self) -> None:
        """Harm the way to the store."""
        await self.harm("store")

    async def harm(self, name: str) -> None:
        """Harm a cable for a while."""
        cable = self.world.platform.cables[name]
        cable.set_fault(self.rng.choice(list(Fault)))
        self.told[-1] += f" {name} {cable.fault.value}"
        await self.last()
        cable.set_fault(Fault.NONE)
        cable.reset()

    async def reset(self) -> None:
        """Reset the connections of one cable."""
        cables = self.world.platform.cables
        cables[self.rng.choice(list(cables))].reset()

    async def crash(self) -> None:
        """Crash a server; it comes back with its log."""
        group = self.world.platform.groups[GROUP]
        running = [one for one in group.servers.values() if one.running]
        if len(running) < len(group.servers):
            return
        server = self.rng.choice(running)
        await server.close()
        await self.last()
        await server.start()
        primary = group.primary()
        if primary and primary is not server:
            server.receive(primary.log)
        server.report()

    async def release(self) -> None:
        """Have a server announce that it leaves, and stay after all."""
        group = self.world.platform.groups[GROUP]
        server = self.rng.choice(list(group.servers.values()))
        server.draining = True
        server.report()
        await self.last()
        server.draining = False
        server.report()

    async def deaf(self) -> None:
        """Let a replica receive nothing."""
        group = self.world.platform.groups[GROUP]
        server = self.rng.choice(list(group.servers.values()))
        server.replication_cut = True
        await self.last()
        server.replication_cut = False

    async def lose_answers(self) -> None:
        """Lose the answers of some statements."""
        group = self.world.platform.groups[GROUP]
        server = self.rng.choice(list(group.servers.values()))
        server.lost_answers = 3

    async def lose_orders(self) -> None:
        """Carry promotions out late and without an answer."""
        self.world.platform.lose_orders = 1
        self.world.platform.promotion_delay_seconds = self.rng.uniform(0.0, 2.0)

    async def configure(self) -> None:
        """Write the next configuration."""
        self.world.platform.configure()

    async def forget_history(self) -> None:
        """Drop the store's record of changes."""
        self.world.platform.store.trim_history()
