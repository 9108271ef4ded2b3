"""The processes, servers and cables of one run."""

import asyncio
import os
import pathlib
import random
import signal
import sys
from asyncio.subprocess import Process

import attrs

from fault_soak.cable import Cable
from jackdawcrank_platform.boot_file import PATH_VARIABLE
from jackdawcrank_standins.users_platform import LineServer, StandinPlatform

ZONES = ("north-a", "south-a", "west-a")
GROUP = "plots"
START_SECONDS = 20.0


@attrs.define(eq=False)
class Proxy:
    """A proxy process.

    Attributes:
      vm: Its VM's name.
      port: Where callers connect.
      boot_file: Its settings.
      log: Where its output goes.
      process: The process, while there is one.
    """

    vm: str
    port: int
    boot_file: pathlib.Path
    log: pathlib.Path
    process: Process | None = None


class CabledPlatform(StandinPlatform):
    """The stand-in platform with a cable before each part.

    Attributes:
      cables: The cables by server id, and the store's under `store`.
    """

    def __init__(self) -> None:
        super().__init__((GROUP,))
        self.cables: dict[str, Cable] = {}

    async def start(self) -> None:
        """Start the platform and the store's cable."""
        await super().start()
        self.cables["store"] = Cable(self.store.port)
        await self.cables["store"].start()
        for server in self.groups[GROUP].servers.values():
            cable = Cable(server.port)
            await cable.start()
            self.cables[server.server_id] = cable
            server.report()

    def report(self, server: LineServer) -> None:
        """Write a server's entry, with its cable as the address."""
        cable = self.cables.get(server.server_id)
        self.address_ports[server.server_id] = (
            cable.port if cable else server.port
        )
        super().report(server)

    async def close(self) -> None:
        """Stop everything."""
        for cable in self.cables.values():
            await cable.close()
        await super().close()


class World:
    """Starts, stops and finds the parts.

    Attributes:
      platform: The stand-in platform.
      proxies: The proxies.
      rng: Where all chances come from.
    """

    def __init__(
        self, folder: pathlib.Path, proxies: int, rng: random.Random
    ) -> None:
        self.folder = folder
        self.rng = rng
        self.count = proxies
        self.platform = CabledPlatform()
        self.proxies: list[Proxy] = []

    async def start(self) -> None:
        """Start the platform and every proxy, and wait until they serve."""
        await self.platform.start()
        store_port = self.platform.cables["store"].port
        for number in range(self.count):
            vm = f"vm{number}"
            path = self.folder / f"{vm}.toml"
            port = self.platform.write_boot_file(
                path, vm, ZONES[number % len(ZONES)]
            )
            text = path.read_text().replace(
                f":{self.platform.store.port}", f":{store_port}"
            )
            path.write_text(text)
            log = self.folder / f"{vm}.log"
            proxy = Proxy(vm, port, path, log)
            self.proxies.append(proxy)
            await self.start_proxy(proxy)
        async with asyncio.timeout(START_SECONDS):
            for proxy in self.proxies:
                await self.wait_for(proxy)

    async def start_proxy(self, proxy: Proxy) -> None:
        """Start a proxy's process."""
        with proxy.log.open("ab") as log:
            proxy.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "jackdawcrank_platform",
                env=os.environ | {PATH_VARIABLE: str(proxy.boot_file)},
                stdout=log,
                stderr=log,
            )

    async def wait_for(self, proxy: Proxy) -> None:
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

    def signal(self, proxy: Proxy, number: signal.Signals) -> None:
        """Send a signal to a process that this run started."""
        if proxy.process and proxy.process.returncode is None:
            proxy.process.send_signal(number)

    async def close(self) -> None:
        """End every process that this run started, then the platform."""
        for proxy in self.proxies:
            self.signal(proxy, signal.SIGKILL)
            if proxy.process:
                await proxy.process.wait()
        await self.platform.close()
