"""Proxies and stand-ins in one process on one event loop."""

import asyncio
from typing import Any

from jackdawcrank.embedded.embedded_options import (
    BACKEND_PASSWORD,
    BACKEND_USER,
    CALLER_PASSWORD,
    CALLER_USER,
    OPERATOR_TOKEN,
    EmbeddedOptions,
)
from jackdawcrank.process import Proxy
from jackdawcrank.store import Appended
from jackdawcrank_policy.configuration import Kind
from jackdawcrank_policy.values import GroupPhase, Vm
from jackdawcrank_standins.backend import BackendGroup, BackendServer
from jackdawcrank_standins.platform import Platform
from jackdawcrank_wire.settings import CallerLogin, Settings

HOST = "127.0.0.1"
READY_TIMEOUT_SECONDS = 30.0
DATA_CENTERS = ("north-1", "north-2", "south-1")


class EmbeddedSystem:
    """Proxies, backend servers and a platform in one process.

    Attributes:
      options: The size and behavior of the system.
      platform: The stand-in for the platform.
      groups: The stand-ins for the backend servers, by group.
      proxies: The proxies by VM.
    """

    def __init__(self, options: EmbeddedOptions | None = None) -> None:
        self.options = options or EmbeddedOptions()
        self.platform = Platform()
        self.groups = {
            name: self._make_group(name) for name in self.options.groups
        }
        self.proxies: dict[str, Proxy] = {}

    async def start(self) -> None:
        """Start everything and wait until each group has a primary."""
        await self.platform.start(HOST)
        for group in self.groups.values():
            await group.start(HOST)
            self.platform.board.add_group(group)
        for number in range(1, self.options.vms + 1):
            await self.start_proxy(f"vm{number}")
        await self._append_resources()
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            await self.wait_ready()

    async def close(self) -> None:
        """Stop everything."""
        for proxy in self.proxies.values():
            await proxy.close()
        for group in self.groups.values():
            await group.close()
        await self.platform.close()

    async def drain(self) -> None:
        """Close callers at statement boundaries, then stop everything.

        Homes are not handed over, because no proxy remains to take them.
        """
        await asyncio.gather(
            *(
                proxy.front.drain(proxy.settings.shutdown_timeout_seconds)
                for proxy in self.proxies.values()
            )
        )
        await self.close()

    async def start_proxy(self, vm: str) -> Proxy:
        """Start a proxy and add its VM to the platform's list.

        Args:
          vm: The VM's name.
        """
        settings = self._make_settings(vm)
        proxy = Proxy(settings)
        await proxy.start()
        self.proxies[vm] = proxy
        listed_vm = Vm(
            vm,
            HOST,
            proxy.peer_server.port,
            proxy.api.port,
            settings.region,
            settings.data_center,
        )
        self.platform.list_vm(listed_vm)
        return proxy

    async def wait_ready(self) -> None:
        """Wait until every proxy knows a primary of each group."""
        for proxy in self.proxies.values():
            while not self._is_ready(proxy):
                await proxy.follower.wait_above(proxy.follower.version)

    def describe(self) -> dict[str, Any]:
        """Return all addresses and credentials as JSON values."""
        proxies = self.proxies.items()
        return {
            "callers": [
                {"vm": vm, "host": HOST, "port": proxy.front.port}
                for vm, proxy in proxies
            ],
            "operators": [
                {"vm": vm, "url": f"http://{HOST}:{proxy.api.port}"}
                for vm, proxy in proxies
            ],
            "platform": self.platform.url,
            "groups": [
                {"name": name, "servers": self._describe_servers(group)}
                for name, group in self.groups.items()
            ],
            "operator_token": OPERATOR_TOKEN,
            "caller_user": CALLER_USER,
            "caller_password": CALLER_PASSWORD,
        }

    def primary_of(self, group: str) -> str:
        """Return the primary of a group by the newest row of any proxy.

        Args:
          group: The group's name.
        """
        rows = [
            proxy.follower.configuration.group_rows.get(group)
            for proxy in self.proxies.values()
        ]
        known = [row for row in rows if row is not None]
        return max(known, key=lambda row: row.term).primary if known else ""

    def _is_ready(self, proxy: Proxy) -> bool:
        configuration = proxy.follower.configuration
        return all(
            name in configuration.groups
            and (row := configuration.group_rows.get(name)) is not None
            and row.phase is GroupPhase.ACTIVE
            for name in self.options.groups
        )

    def _describe_servers(self, group: BackendGroup) -> list[dict[str, Any]]:
        return [
            {
                "name": server.name,
                "host": HOST,
                "port": server.port,
                "role": str(server.replication.role),
            }
            for server in group.servers.values()
        ]

    def _make_group(self, name: str) -> BackendGroup:
        options = self.options
        group = BackendGroup(name)
        for number in range(1, options.servers_per_group + 1):
            BackendServer(
                f"{name}-{number}",
                group,
                slots=options.slots,
                connection_limit=options.connection_limit,
                connect_seconds=options.connect_seconds,
                lag_seconds=options.lag_seconds,
                statement_seconds=options.statement_seconds,
            )
        return group

    def _make_settings(self, vm: str) -> Settings:
        number = int(vm.removeprefix("vm"))
        data_center = DATA_CENTERS[(number - 1) % len(DATA_CENTERS)]
        return Settings(
            vm=vm,
            host=HOST,
            region=data_center.partition("-")[0],
            data_center=data_center,
            caller_port=0,
            peer_port=0,
            operator_port=0,
            platform_url=self.platform.url,
            peer_secret="peer-secret-of-the-demo",
            token_keys=("token-key-of-the-demo",),
            operator_tokens=(OPERATOR_TOKEN,),
            callers=(CallerLogin(CALLER_USER, CALLER_PASSWORD),),
            backend_user=BACKEND_USER,
            backend_password=BACKEND_PASSWORD,
        )

    async def _append_resources(self) -> None:
        for name, group in self.groups.items():
            await self._append(
                Kind.DATABASE_GROUP,
                name,
                {
                    "slotsPerServer": self.options.slots,
                    "connectionLimit": self.options.connection_limit,
                    "confirmWrites": self.options.confirm_writes,
                },
            )
            for server in group.servers.values():
                spec = {"group": name, "host": HOST, "port": server.port}
                await self._append(Kind.BACKEND_SERVER, server.name, spec)

    async def _append(
        self, kind: Kind, name: str, spec: dict[str, Any]
    ) -> None:
        proxy = next(iter(self.proxies.values()))
        outcome = await proxy.change_log.append(
            kind, name, {"spec": spec}, 0, "embedded"
        )
        if not isinstance(outcome, Appended):
            raise RuntimeError(f"cannot append {kind} {name}: {outcome}")
