"""A scripted session on the stand-in of the users' platform."""

import asyncio

import click

from jackdawcrank.embedded.platform_system import GROUP, PlatformSystem
from jackdawcrank_standins.users_platform import LineCaller

READY_SECONDS = 10.0
# A change of primary is over in 7 s.
TRIES = 100


async def run_platform_demo() -> bool:
    """Run the demo; return whether it showed what it should."""
    system = PlatformSystem(vms=3)
    await system.start()
    try:
        return await play(system)
    finally:
        await system.close()


async def play(system: PlatformSystem) -> bool:
    """Write, lose the primary, and read what was written."""
    async with asyncio.timeout(READY_SECONDS):
        for proxy in system.proxies.values():
            await proxy.directory.servers_loaded.wait()
    database = f"{GROUP}-primary"
    one = await LineCaller.connect(system.ports["vm1"], database)
    two = await LineCaller.connect(system.ports["vm2"], database)
    await one.ask("WRITE plot7 loam")
    rows = (await two.ask("READ plot7")).rows
    click.echo(f"users' platform: written on vm1, read on vm2: {rows}")
    group = system.platform.groups[GROUP]
    primary = group.primary()
    if primary is None or rows != ["loam"]:
        return False
    await primary.close()
    for _ in range(TRIES):
        if not (await two.ask("WRITE plot8 clay")).code:
            break
    new = group.primary()
    rows = (await two.ask("READ plot7")).rows
    name = new.server_id if new else "nobody"
    click.echo(f"users' platform: {name} replaced {primary.server_id}: {rows}")
    return new is not None and rows == ["loam"]
