"""Settings and declarations around the measured proxy."""

import asyncio
import random
import urllib.parse
from collections.abc import Callable
from typing import Any

from jackdawcrank.process import Proxy
from jackdawcrank.store import Appended
from jackdawcrank_policy.configuration import Kind
from jackdawcrank_policy.values import GroupPhase
from jackdawcrank_wire.settings import CallerLogin, Settings
from slopes_parts.remote import Remote

HOST = "127.0.0.1"
READY_CHECK_SECONDS = 0.05
READY_CHECKS = 400


def make_settings(vm: str, platform_url: str) -> Settings:
    """Return the settings of a proxy.

    Args:
      vm: Its VM.
      platform_url: The platform's address.
    """
    return Settings(
        vm=vm,
        host=HOST,
        caller_port=0,
        peer_port=0,
        operator_port=0,
        platform_url=platform_url,
        peer_secret="peer secret of the benchmark",
        token_keys=("token key of the benchmark",),
        operator_tokens=("operator:token-of-the-benchmark",),
        callers=(CallerLogin("app", "app-password"),),
        backend_user="proxy",
        backend_password="proxy",
        log_verbosity="error",
    )


async def wait_until(condition: Callable[[], bool]) -> None:
    """Return once a condition holds.

    Args:
      condition: The condition, looked at again and again.

    Raises:
      RuntimeError: It did not hold in `READY_CHECKS` looks.
    """
    for _ in range(READY_CHECKS):
        if condition():
            return
        await asyncio.sleep(READY_CHECK_SECONDS)
    raise RuntimeError("the condition never held")


class World:
    """A proxy in this process, everything else in another one.

    Attributes:
      proxy: The measured proxy.
      platform_port: The platform's port.
      backend_ports: The backend servers' ports.
    """

    def __init__(self, seed: int) -> None:
        self.remote = Remote("remote_world")
        self.rng = random.Random(seed)
        self.groups: list[str] = []
        self.backend_ports: set[int] = set()

    async def start(self, vm: str = "vm-b") -> None:
        """Start the platform and the proxy.

        Args:
          vm: The proxy's VM.
        """
        await self.remote.start()
        self.url = (await self.remote.ask(do="start"))["url"]
        self.platform_port = urllib.parse.urlsplit(self.url).port
        self.proxy = Proxy(make_settings(vm, self.url), self.rng)
        await self.proxy.start()
        await self.remote.ask(
            do="list",
            vm=vm,
            peer_port=self.proxy.peer_server.port,
            operator_port=self.proxy.api.port,
        )

    async def grow(self, groups: int) -> None:
        """Declare groups until there are as many as asked, and wait.

        Args:
          groups: The number of groups.
        """
        answer = await self.remote.ask(do="groups", count=groups)
        for name, servers in answer["added"].items():
            self.groups.append(name)
            await self.declare(Kind.DATABASE_GROUP, name, {})
            for server, port in servers.items():
                self.backend_ports.add(port)
                spec = {"group": name, "host": HOST, "port": port}
                await self.declare(Kind.BACKEND_SERVER, server, spec)
        await wait_until(lambda: all(map(self.is_open, self.groups)))

    async def declare(self, kind: Kind, name: str, spec: Any) -> None:
        """Append a resource to the change log.

        Args:
          kind: The resource's kind.
          name: Its name.
          spec: Its declaration.
        """
        outcome = await self.proxy.change_log.append(
            kind, name, {"spec": spec}, 0, "bench"
        )
        if not isinstance(outcome, Appended):
            raise RuntimeError(f"{name} was not declared: {outcome}")

    def is_open(self, group: str) -> bool:
        """Return whether a group's term is open.

        Args:
          group: The group's name.
        """
        rows = self.proxy.follower.configuration.group_rows
        row = rows.get(group)
        return row is not None and row.phase is GroupPhase.ACTIVE

    async def close(self) -> None:
        """Stop everything."""
        await self.proxy.close()
        await self.remote.close()
