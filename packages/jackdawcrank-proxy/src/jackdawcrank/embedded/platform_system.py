"""Proxies on a stand-in of the users' platform, in one process."""

import os
import pathlib
import tempfile
import tomllib
from typing import Any

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.relay_proxy import RelayProxy
from jackdawcrank_platform.__main__ import make_proxy
from jackdawcrank_platform.boot_file import decode
from jackdawcrank_standins.users_platform import StandinPlatform
from jackdawcrank_standins.users_platform.standin_platform import ZONES

GROUP = "plots"


class PlatformSystem:
    """Runs the stand-in platform and proxies in front of it.

    Attributes:
      platform: The stand-in.
      proxies: The proxies by VM.
      ports: The caller port of each VM.
    """

    def __init__(self, vms: int) -> None:
        self.vms = vms
        self.platform = StandinPlatform((GROUP,))
        self.proxies: dict[str, RelayProxy] = {}
        self.ports: dict[str, int] = {}

    async def start(self) -> None:
        """Start everything without waiting until the proxies are ready."""
        await self.platform.start()
        folder = pathlib.Path(tempfile.mkdtemp(prefix="jackdawcrank-"))
        zones = list(ZONES)
        for number in range(self.vms):
            vm = f"vm{number + 1}"
            path = folder / f"{vm}.toml"
            zone = zones[number % len(zones)]
            self.ports[vm] = self.platform.write_boot_file(path, vm, zone)
            log = os.open(folder / f"{vm}.log", os.O_WRONLY | os.O_CREAT)
            settings = decode(tomllib.loads(path.read_text()))
            proxy = make_proxy(settings, DecisionLog(vm, log))
            await proxy.start()
            self.proxies[vm] = proxy

    def describe(self) -> dict[str, Any]:
        """Return the caller ports and database names as JSON values."""
        databases = [f"{GROUP}-primary", f"{GROUP}-read_your_writes"]
        callers = [{"vm": vm, "port": port} for vm, port in self.ports.items()]
        return {"callers": callers, "databases": databases}

    async def drain(self) -> None:
        """Stop each proxy gracefully, one by one, then the platform."""
        for proxy in self.proxies.values():
            await proxy.stop()
        await self.platform.close()

    async def close(self) -> None:
        """Stop everything without draining."""
        for proxy in self.proxies.values():
            await proxy.close()
        await self.platform.close()
