"""What homes and coordinators of groups cost a VM."""

import asyncio

from slopes_parts.fit import Slope, fit_plane
from slopes_parts.usage import begin_usage, end_usage, memory_bytes
from slopes_parts.world import World

GROUPS = [0, 4, 8, 12]
SHARED_GROUPS = [4, 8, 12]
SETTLE_SECONDS = 3.0
MEASURE_SECONDS = 5.0

Row = dict[str, float]


async def measure_alone(seed: int) -> list[Row]:
    """Measure a proxy that coordinates every group.

    Args:
      seed: The seed of the proxy's jitter.
    """
    world = World(seed)
    await world.start()
    rows = [await measure_at(world, count) for count in GROUPS]
    await world.close()
    return rows


async def measure_shared(seed: int) -> list[Row]:
    """Measure a proxy beside another one that is home of every group too.

    Args:
      seed: The seed of the proxy's jitter.
    """
    world = World(seed)
    await world.start()
    await world.remote.ask(do="proxy", vm="vm-a")
    await asyncio.sleep(SETTLE_SECONDS)
    rows = [await measure_at(world, count) for count in SHARED_GROUPS]
    await world.close()
    return rows


async def measure_at(world: World, groups: int) -> Row:
    """Return what a proxy costs with a number of groups.

    Args:
      world: The proxy and its surroundings.
      groups: The number of groups.
    """
    await world.grow(groups)
    await asyncio.sleep(SETTLE_SECONDS)
    memory = memory_bytes()
    before = begin_usage()
    requests = world.proxy.store.traffic.requests
    await asyncio.sleep(MEASURE_SECONDS)
    after = end_usage()
    requests = world.proxy.store.traffic.requests - requests
    seconds = after.wall - before.wall
    ports = world.backend_ports
    backend = after.on(ports) - before.on(ports)
    store = after.on({world.platform_port}) - before.on({world.platform_port})
    homes = world.proxy.registry.homes.values()
    return {
        "homes": len(homes),
        "coordinated": sum(home.agent.context.is_acting for home in homes),
        "memory, bytes": memory,
        "processor time, s/s": (after.cpu - before.cpu) / seconds,
        "backend traffic, bytes/s": backend.bytes / seconds,
        "store traffic, bytes/s": store.bytes / seconds,
        "store requests, 1/s": requests / seconds,
    }


def fit_rows(rows: list[Row]) -> list[Slope]:
    """Return the slopes over groups homed and groups coordinated.

    Args:
      rows: The measurements of both proxies.
    """
    homes = [row["homes"] for row in rows]
    coordinated = [row["coordinated"] for row in rows]
    units = [
        ("home proxy", "group homed", homes),
        ("coordinator", "group coordinated", coordinated),
    ]
    names = [name for name in rows[0] if name not in ("homes", "coordinated")]
    slopes = []
    for name in names:
        slopes += fit_plane(name, units, [row[name] for row in rows])
    return slopes
