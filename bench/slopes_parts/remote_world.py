"""The platform and the backend servers around the measured proxy."""

import asyncio
from typing import Any

from jackdawcrank.membership.lease_row import encode_lease_row
from jackdawcrank.process import Proxy
from jackdawcrank_policy.membership import LeaseReading
from jackdawcrank_policy.values import Vm
from jackdawcrank_standins.backend import BackendGroup, BackendServer
from jackdawcrank_standins.platform import Platform
from jackdawcrank_standins.store.transaction import parse_transaction
from slopes_parts.remote import Handler, serve
from slopes_parts.world import HOST, make_settings

platform = Platform()
groups: list[BackendGroup] = []
proxies: list[Proxy] = []


async def start(request: dict[str, Any]) -> dict[str, Any]:
    """Start the platform."""
    await platform.start(HOST)
    return {"url": platform.url}


async def add_groups(request: dict[str, Any]) -> dict[str, Any]:
    """Start backend servers until there are as many groups as asked."""
    added = {}
    while len(groups) < request["count"]:
        group = BackendGroup(f"group{len(groups):04}")
        for number in range(1, 4):
            BackendServer(f"{group.name}-{number}", group, connect_seconds=0.01)
        await group.start(HOST)
        groups.append(group)
        added[group.name] = {
            name: server.port for name, server in group.servers.items()
        }
    return {"added": added}


async def add_proxy(request: dict[str, Any]) -> dict[str, Any]:
    """Start another proxy."""
    proxy = Proxy(make_settings(request["vm"], platform.url))
    await proxy.start()
    proxies.append(proxy)
    list_vm(request["vm"], proxy.peer_server.port, proxy.api.port)
    return {}


async def list_proxy(request: dict[str, Any]) -> dict[str, Any]:
    """Put a VM on the platform's list."""
    list_vm(request["vm"], request["peer_port"], request["operator_port"])
    return {}


def list_vm(name: str, peer_port: int, operator_port: int) -> None:
    """Put a VM on the platform's list."""
    center = f"center-{sum(name.encode()) % 5}"
    vm = Vm(name, HOST, peer_port, operator_port, center[:1], center)
    platform.list_vm(vm)


async def list_many(request: dict[str, Any]) -> dict[str, Any]:
    """List VMs and give each a lease row like that of a live one."""
    for number in range(request["count"]):
        name = f"vm-{number:04}"
        list_vm(name, 7306, 8306)
        reading = LeaseReading(name, "5f3a91c2", 17, 15.0, False)
        vm = Vm(name, "10.1.2.3", 7306, 8306, "oberbayern", "oberbayern-1")
        row = encode_lease_row(reading, vm, "0123456789abcdef" * 2)
        put = {"table": "vms", "key": name, "value": row}
        body = {"checks": [], "puts": [put], "deletes": []}
        platform.tables.transact(parse_transaction(body))
    return {}


async def main() -> None:
    """Serve until the input is closed, then stop everything."""
    handlers: dict[str, Handler] = {
        "start": start,
        "groups": add_groups,
        "proxy": add_proxy,
        "list": list_proxy,
        "list_many": list_many,
    }
    await serve(handlers)
    for proxy in proxies:
        await proxy.close()
    for group in groups:
        await group.close()
    await platform.close()


if __name__ == "__main__":
    asyncio.run(main())
