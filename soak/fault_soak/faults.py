"""Faults from outside, in series and overlapping."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from fault_soak.cable import LinkFault
from fault_soak.world import GROUP, ProxyProcess, SoakEnvironment

FAULT_INTERVAL_SECONDS = (0.2, 1.5)
FAULT_DURATION_SECONDS = (0.3, 2.5)
EXIT_TIMEOUT_SECONDS = 4.0


class RandomFaults:
    """Picks faults by the run's seed.

    Attributes:
      world: What they strike.
      told: What was done, in order.
    """

    def __init__(self, environment: SoakEnvironment) -> None:
        self.environment = environment
        self.rng = environment.rng
        self.injected: list[str] = []
        self.injectors: list[Callable[[], Awaitable[None]]] = [
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
                group.create_task(self.inject_repeatedly())

    async def inject_repeatedly(self) -> None:
        """Strike one fault after the other."""
        while True:
            await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL_SECONDS))
            fault = self.rng.choice(self.injectors)
            self.injected.append(fault.__name__)
            await fault()

    async def wait_fault_duration(self) -> None:
        """Wait as long as a fault lasts."""
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_SECONDS))

    def proxy(self) -> ProxyProcess:
        """Return any proxy."""
        return self.rng.choice(self.environment.proxies)

    async def kill(self) -> None:
        """Kill a proxy and start it again."""
        proxy = self.proxy()
        self.environment.signal(proxy, signal.SIGKILL)
        await self.restart_after_exit(proxy)

    async def restart(self) -> None:
        """Stop a proxy in order and start it again."""
        proxy = self.proxy()
        self.environment.signal(proxy, signal.SIGTERM)
        await self.restart_after_exit(proxy)

    async def restart_after_exit(self, proxy: ProxyProcess) -> None:
        """Start a proxy again once its process has ended."""
        process = proxy.process
        if process is None:
            return
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_SECONDS):
                await process.wait()
        except TimeoutError:
            self.environment.signal(proxy, signal.SIGKILL)
            await process.wait()
        if proxy.process is process:
            await self.environment.start_proxy(proxy)

    async def pause(self) -> None:
        """Stop a proxy's processor for a while."""
        proxy = self.proxy()
        self.environment.signal(proxy, signal.SIGSTOP)
        await self.wait_fault_duration()
        self.environment.signal(proxy, signal.SIGCONT)

    async def reload(self) -> None:
        """Tell a proxy that its settings changed."""
        self.environment.signal(self.proxy(), signal.SIGHUP)

    async def cable(self) -> None:
        """Harm the way to a server."""
        name = self.rng.choice(
            list(self.environment.platform.groups[GROUP].servers)
        )
        await self.degrade_link(name)

    async def store(self) -> None:
        """Harm the way to the store."""
        await self.degrade_link("store")

    async def degrade_link(self, name: str) -> None:
        """Harm a cable for a while."""
        link = self.environment.platform.links[name]
        link.set_fault(self.rng.choice(list(LinkFault)))
        self.injected[-1] += f" {name} {link.fault.value}"
        await self.wait_fault_duration()
        link.set_fault(LinkFault.NONE)
        link.reset()

    async def reset(self) -> None:
        """Reset the connections of one cable."""
        links = self.environment.platform.links
        links[self.rng.choice(list(links))].reset()

    async def crash(self) -> None:
        """Crash a server; it comes back with its log."""
        group = self.environment.platform.groups[GROUP]
        running = [
            candidate
            for candidate in group.servers.values()
            if candidate.running
        ]
        if len(running) < len(group.servers):
            return
        server = self.rng.choice(running)
        await server.close()
        await self.wait_fault_duration()
        await server.start()
        primary = group.primary()
        if primary and primary is not server:
            server.receive(primary.log)
        server.report()

    async def release(self) -> None:
        """Have a server announce that it leaves, and stay after all."""
        group = self.environment.platform.groups[GROUP]
        server = self.rng.choice(list(group.servers.values()))
        server.draining = True
        server.report()
        await self.wait_fault_duration()
        server.draining = False
        server.report()

    async def deaf(self) -> None:
        """Let a replica receive nothing."""
        group = self.environment.platform.groups[GROUP]
        server = self.rng.choice(list(group.servers.values()))
        server.deaf = True
        await self.wait_fault_duration()
        server.deaf = False

    async def lose_answers(self) -> None:
        """Lose the answers of some statements."""
        group = self.environment.platform.groups[GROUP]
        server = self.rng.choice(list(group.servers.values()))
        server.lost_answers = 3

    async def lose_orders(self) -> None:
        """Carry promotions out late and without an answer."""
        self.environment.platform.lose_orders = 1
        self.environment.platform.hold_orders = self.rng.uniform(0.0, 2.0)

    async def configure(self) -> None:
        """Write the next configuration."""
        self.environment.platform.configure()

    async def forget_history(self) -> None:
        """Drop the store's record of changes."""
        self.environment.platform.store.forget_history()
