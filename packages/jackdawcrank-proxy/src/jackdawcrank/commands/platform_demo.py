"""A scripted demo on the stand-in of the users' platform."""

import asyncio

import click

from jackdawcrank.embedded.platform_system import GROUP, PlatformSystem
from jackdawcrank_standins.users_platform import LineCaller

READY_TIMEOUT_SECONDS = 10.0
# A failover takes up to 7 s.
MAX_ATTEMPTS = 100


async def run_platform_demo() -> bool:
    """Run the demo; return whether it gave the expected results."""
    system = PlatformSystem(vms=3)
    await system.start()
    try:
        return await run_scenario(system)
    finally:
        await system.close()


async def run_scenario(system: PlatformSystem) -> bool:
    """Write, stop the primary, and read the write after failover."""
    async with asyncio.timeout(READY_TIMEOUT_SECONDS):
        for proxy in system.proxies.values():
            await proxy.directory.servers_loaded.wait()
    database = f"{GROUP}-primary"
    first_caller = await LineCaller.connect(system.ports["vm1"], database)
    second_caller = await LineCaller.connect(system.ports["vm2"], database)
    await first_caller.ask("WRITE plot7 loam")
    rows = (await second_caller.ask("READ plot7")).rows
    click.echo(f"users' platform: written on vm1, read on vm2: {rows}")
    group = system.platform.groups[GROUP]
    primary = group.primary()
    if primary is None or rows != ["loam"]:
        return False
    await primary.close()
    for _ in range(MAX_ATTEMPTS):
        if not (await second_caller.ask("WRITE plot8 clay")).code:
            break
    new_primary = group.primary()
    rows = (await second_caller.ask("READ plot7")).rows
    name = new_primary.server_id if new_primary else "nobody"
    click.echo(f"users' platform: {name} replaced {primary.server_id}: {rows}")
    return new_primary is not None and rows == ["loam"]
