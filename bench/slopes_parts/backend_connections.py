"""What a warm connection to a backend server costs its home proxy."""

import asyncio

from jackdawcrank.backend.endpoint import Endpoint
from jackdawcrank.backend.server_pool import ServerPool
from slopes_parts.fit import Slope, fit_line
from slopes_parts.remote import Remote
from slopes_parts.usage import begin_usage, end_usage, memory_bytes
from slopes_parts.world import wait_until

CONNECTIONS = [15.0, 30.0, 60.0]
SETTLE_SECONDS = 1.0
MEASURE_SECONDS = 10.5
ROLE = "home proxy"
UNIT = "warm backend connection"


async def measure(seed: int) -> list[Slope]:
    """Measure connections that are kept open and checked.

    Args:
      seed: Not used; nothing here is random.
    """
    world = Remote("remote_world")
    await world.start()
    await world.ask(do="start")
    answer = await world.ask(do="groups", count=1)
    name, port = next(iter(answer["added"]["group0000"].items()))
    endpoint = Endpoint(name, "127.0.0.1", port, "group0000", "proxy", "proxy")
    pool = ServerPool(endpoint, limit=0, warm=0)
    pool.start()
    figures: dict[str, list[float]] = {}
    for count in CONNECTIONS:
        row = await measure_at(pool, int(count))
        for quantity, value in row.items():
            figures.setdefault(quantity, []).append(value)
    await pool.close()
    await world.close()
    return [
        fit_line(ROLE, UNIT, quantity, CONNECTIONS, values)
        for quantity, values in figures.items()
    ]


async def measure_at(pool: ServerPool, count: int) -> dict[str, float]:
    """Return what a number of connections costs.

    Args:
      pool: The connections.
      count: How many to hold.
    """
    pool.limit = pool.warm = count
    await wait_until(lambda: len(pool.idle) >= count)
    await asyncio.sleep(SETTLE_SECONDS)
    memory = memory_bytes()
    before = begin_usage()
    await asyncio.sleep(MEASURE_SECONDS)
    after = end_usage()
    seconds = after.wall - before.wall
    return {
        "memory, bytes": float(memory),
        "processor time, s/s": (after.cpu - before.cpu) / seconds,
        "backend traffic, bytes/s": (after.on() - before.on()).bytes / seconds,
    }
