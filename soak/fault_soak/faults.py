"""Random fault injection into proxies, backend servers and links."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from fault_soak.cable import LinkFault
from fault_soak.world import GROUP, ProxyProcess, SoakEnvironment

FAULT_INTERVAL_SECONDS = (0.2, 1.5)
FAULT_DURATION_SECONDS = (0.3, 2.5)
EXIT_TIMEOUT_SECONDS = 4.0


class RandomFaults:
    """Injects random faults chosen by the random generator of the run.

    Attributes:
      environment: Environment that faults are injected into.
      injected: Names of the injected faults, in order.
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
        """Inject faults until cancelled; at most two overlap."""
        async with asyncio.TaskGroup() as group:
            for _ in range(2):
                group.create_task(self.inject_repeatedly())

    async def inject_repeatedly(self) -> None:
        """Inject one fault after another until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL_SECONDS))
            fault = self.rng.choice(self.injectors)
            self.injected.append(fault.__name__)
            await fault()

    async def wait_fault_duration(self) -> None:
        """Wait for a random fault duration."""
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_SECONDS))

    def proxy(self) -> ProxyProcess:
        """Return a random proxy."""
        return self.rng.choice(self.environment.proxies)

    async def kill(self) -> None:
        """Kill a proxy with SIGKILL and restart it."""
        proxy = self.proxy()
        self.environment.signal(proxy, signal.SIGKILL)
        await self.restart_after_exit(proxy)

    async def restart(self) -> None:
        """Shut a proxy down with SIGTERM and restart it."""
        proxy = self.proxy()
        self.environment.signal(proxy, signal.SIGTERM)
        await self.restart_after_exit(proxy)

    async def restart_after_exit(self, proxy: ProxyProcess) -> None:
        """Restart a proxy after its process has exited.

        A process that does not exit within `EXIT_TIMEOUT_SECONDS` is killed.
        """
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
        """Suspend a proxy process with SIGSTOP, then resume it."""
        proxy = self.proxy()
        self.environment.signal(proxy, signal.SIGSTOP)
        await self.wait_fault_duration()
        self.environment.signal(proxy, signal.SIGCONT)

    async def reload(self) -> None:
        """Send SIGHUP to a proxy so that it reloads its settings."""
        self.environment.signal(self.proxy(), signal.SIGHUP)

    async def cable(self) -> None:
        """Inject a random fault into the link to a random server."""
        name = self.rng.choice(
            list(self.environment.platform.groups[GROUP].servers)
        )
        await self.degrade_link(name)

    async def store(self) -> None:
        """Inject a random fault into the link to the store."""
        await self.degrade_link("store")

    async def degrade_link(self, name: str) -> None:
        """Apply a random fault to a link, then clear it and reset the link."""
        link = self.environment.platform.links[name]
        link.set_fault(self.rng.choice(list(LinkFault)))
        self.injected[-1] += f" {name} {link.fault.value}"
        await self.wait_fault_duration()
        link.set_fault(LinkFault.NONE)
        link.reset()

    async def reset(self) -> None:
        """Reset all connections of a random link."""
        links = self.environment.platform.links
        links[self.rng.choice(list(links))].reset()

    async def crash(self) -> None:
        """Crash a server and restart it with its log preserved.

        Does nothing while another server is down.
        """
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
        """Have a server announce a drain and later withdraw it."""
        group = self.environment.platform.groups[GROUP]
        server = self.rng.choice(list(group.servers.values()))
        server.draining = True
        server.report()
        await self.wait_fault_duration()
        server.draining = False
        server.report()

    async def deaf(self) -> None:
        """Stop a server from receiving replicated commits for a while."""
        group = self.environment.platform.groups[GROUP]
        server = self.rng.choice(list(group.servers.values()))
        server.replication_cut = True
        await self.wait_fault_duration()
        server.replication_cut = False

    async def lose_answers(self) -> None:
        """Drop the answers to the next three requests with a request id."""
        group = self.environment.platform.groups[GROUP]
        server = self.rng.choice(list(group.servers.values()))
        server.lost_answers = 3

    async def lose_orders(self) -> None:
        """Execute the next promotion late and drop its answer."""
        self.environment.platform.lose_orders = 1
        self.environment.platform.promotion_delay_seconds = self.rng.uniform(
            0.0, 2.0
        )

    async def configure(self) -> None:
        """Write the next configuration version."""
        self.environment.platform.configure()

    async def forget_history(self) -> None:
        """Drop the change history of the store."""
        self.environment.platform.store.trim_history()
