"""Proxy processes, backend servers and links of one soak run."""

import asyncio
import os
import pathlib
import random
import signal
import sys
from asyncio.subprocess import Process

import attrs

from fault_soak.cable import FaultyLink
from jackdawcrank_platform.boot_file import PATH_VARIABLE
from jackdawcrank_standins.users_platform import LineServer, StandinPlatform

ZONES = ("north-a", "south-a", "west-a")
GROUP = "plots"
START_TIMEOUT_SECONDS = 20.0


@attrs.define(eq=False)
class ProxyProcess:
    """A proxy process.

    Attributes:
      vm: Name of its VM.
      port: Port that callers connect to.
      boot_file: Path of its settings file.
      log: Path of the file that receives its output.
      process: Most recently started process, if any.
    """

    vm: str
    port: int
    boot_file: pathlib.Path
    log: pathlib.Path
    process: Process | None = None


class FaultyLinkPlatform(StandinPlatform):
    """Stand-in platform reached through a faulty link to each component.

    Attributes:
      links: Links by server id; the link to the store is under `store`.
    """

    def __init__(self) -> None:
        super().__init__((GROUP,))
        self.links: dict[str, FaultyLink] = {}

    async def start(self) -> None:
        """Start the platform and the links to its store and servers."""
        await super().start()
        self.links["store"] = FaultyLink(self.store.port)
        await self.links["store"].start()
        for server in self.groups[GROUP].servers.values():
            link = FaultyLink(server.port)
            await link.start()
            self.links[server.server_id] = link
            server.report()

    def report(self, server: LineServer) -> None:
        """Write the entry of a server with its link as the address."""
        link = self.links.get(server.server_id)
        self.address_ports[server.server_id] = (
            link.port if link else server.port
        )
        super().report(server)

    async def close(self) -> None:
        """Stop the links, then the platform."""
        for link in self.links.values():
            await link.close()
        await super().close()


class SoakEnvironment:
    """Starts and stops the platform and the proxies of one run.

    Attributes:
      platform: Stand-in platform.
      proxies: Proxy processes.
      rng: Random generator for the choice of faults.
    """

    def __init__(
        self, run_directory: pathlib.Path, proxies: int, rng: random.Random
    ) -> None:
        self.run_directory = run_directory
        self.rng = rng
        self.proxy_count = proxies
        self.platform = FaultyLinkPlatform()
        self.proxies: list[ProxyProcess] = []

    async def start(self) -> None:
        """Start the platform and the proxies.

        Raises:
          TimeoutError: A proxy did not accept connections in time.
        """
        await self.platform.start()
        store_port = self.platform.links["store"].port
        for number in range(self.proxy_count):
            vm = f"vm{number}"
            path = self.run_directory / f"{vm}.toml"
            port = self.platform.write_boot_file(
                path, vm, ZONES[number % len(ZONES)]
            )
            settings_text = path.read_text().replace(
                f":{self.platform.store.port}", f":{store_port}"
            )
            path.write_text(settings_text)
            log = self.run_directory / f"{vm}.log"
            proxy = ProxyProcess(vm, port, path, log)
            self.proxies.append(proxy)
            await self.start_proxy(proxy)
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            for proxy in self.proxies:
                await self.wait_until_accepting(proxy)

    async def start_proxy(self, proxy: ProxyProcess) -> None:
        """Start the process of a proxy."""
        with proxy.log.open("ab") as log:
            proxy.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "jackdawcrank_platform",
                env=os.environ | {PATH_VARIABLE: str(proxy.boot_file)},
                stdout=log,
                stderr=log,
            )

    async def wait_until_accepting(self, proxy: ProxyProcess) -> None:
        """Wait until a proxy accepts connections."""
        while True:
            try:
                _, writer = await asyncio.open_connection(
                    "127.0.0.1", proxy.port
                )
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return

    def signal(self, proxy: ProxyProcess, number: signal.Signals) -> None:
        """Send a signal to a proxy process if it is running."""
        if proxy.process and proxy.process.returncode is None:
            proxy.process.send_signal(number)

    async def close(self) -> None:
        """Kill all proxy processes, then stop the platform."""
        for proxy in self.proxies:
            self.signal(proxy, signal.SIGKILL)
            if proxy.process:
                await proxy.process.wait()
        await self.platform.close()
