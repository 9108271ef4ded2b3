"""What following the configuration costs a VM."""

import asyncio
import time

import attrs

from jackdawcrank.config.snapshot import decode_snapshot, encode_snapshot
from jackdawcrank.store.change_codec import decode_change, encode_change
from jackdawcrank_policy.configuration import (
    Change,
    Configuration,
    ConfigurationState,
    Kind,
)
from slopes_parts.fit import Slope, fit_line
from slopes_parts.usage import begin_usage, end_usage, memory_bytes
from slopes_parts.world import World

GROUPS = [100.0, 300.0, 600.0, 1100.0]
CHANGES = [10.0, 20.0, 40.0]
APPLIED = 20
IDLE_SECONDS = 4.0
ROLE = "configuration follower"
SERVERS_PER_GROUP = 3


def group_changes(number: int, version: int) -> list[Change]:
    """Return the changes that declare a group, its servers and its term.

    Args:
      number: The group's number.
      version: The newest version before them.
    """
    group = f"group{number:04}"
    rows: list[tuple[Kind, str, dict[str, object]]] = [
        (Kind.DATABASE_GROUP, group, {"spec": {}})
    ]
    for server in range(SERVERS_PER_GROUP):
        name = f"{group}-{server}"
        spec = {"group": group, "host": "10.1.2.3", "port": 3306}
        rows.append((Kind.BACKEND_SERVER, name, {"spec": spec}))
    rows.append((Kind.GROUP_ROW, group, group_row(group)))
    return [
        make_change(version + place, str(kind), name, body)
        for place, (kind, name, body) in enumerate(rows, start=1)
    ]


def group_row(group: str) -> dict[str, object]:
    """Return a group's row as it stands in the store.

    Args:
      group: The group's name.
    """
    return {
        "group": group,
        "term": 3,
        "phase": "active",
        "primary": f"{group}-0",
        "coordinator": "vm-0001",
        "writers": ["vm-0001", "vm-0002", "vm-0003"],
        "branch": {"starts": [{"term": 3, "offset": 81723}]},
        "token": "0123456789abcdef0123456789abcdef",
    }


def make_change(
    version: int, kind: str, name: str, body: dict[str, object]
) -> Change:
    """Return a change as a follower decodes it.

    Args:
      version: Its version.
      kind: The kind of row.
      name: The row's name.
      body: The row.
    """
    bare = Change(version, kind, name, document=body, token="t" * 32)
    return decode_change(version, encode_change(bare))


async def measure(seed: int) -> list[Slope]:
    """Measure the state, changes and idle reading.

    Args:
      seed: The seed of the proxy's jitter.
    """
    return measure_state() + await measure_changes(seed)


def measure_state() -> list[Slope]:
    """Return what the configuration costs by the number of groups."""
    state = ConfigurationState()
    memory, apply_cpu, snapshot, load_cpu = [], [], [], []
    number = 0
    for count in GROUPS:
        while number < count:
            for change in group_changes(number, state.version):
                state.apply(change)
            number += 1
        state.recent.clear()
        memory.append(float(memory_bytes()))
        apply_cpu.append(apply_cost(state))
        data = encode_snapshot(state.current)
        snapshot.append(float(len(data)))
        load_cpu.append(load_cost(data))
    unit = "group declared"
    return [
        fit_line(ROLE, unit, "memory, bytes", GROUPS, memory),
        fit_line(ROLE, unit, "processor time per change, s", GROUPS, apply_cpu),
        fit_line(ROLE, unit, "snapshot, bytes", GROUPS, snapshot),
        fit_line(ROLE, unit, "loading a snapshot, s", GROUPS, load_cpu),
    ]


def apply_cost(state: ConfigurationState) -> float:
    """Return the processor time of applying one change.

    Args:
      state: The state before.
    """
    copy = ConfigurationState(state.current)
    change = group_changes(0, 0)[0]
    started = time.process_time()
    for _ in range(APPLIED):
        copy.apply(attrs.evolve(change, version=copy.version + 1))
    return (time.process_time() - started) / APPLIED


def load_cost(data: bytes) -> float:
    """Return the processor time of reading a snapshot.

    Args:
      data: The snapshot.
    """
    started = time.process_time()
    assert isinstance(decode_snapshot(data), Configuration)
    return time.process_time() - started


async def measure_changes(seed: int) -> list[Slope]:
    """Return what changes cost a proxy that is home of no group.

    Args:
      seed: The seed of the proxy's jitter.
    """
    world = World(seed)
    await world.start()
    port = {world.platform_port}
    cpu, traffic = [], []
    for count in CHANGES:
        before = begin_usage()
        await follow_changes(world, int(count))
        after = end_usage()
        cpu.append(after.cpu - before.cpu)
        traffic.append(float((after.on(port) - before.on(port)).bytes))
    slopes = await measure_idle(world)
    await world.close()
    unit = "change written and followed"
    return [
        *slopes,
        fit_line(ROLE, unit, "processor time, s", CHANGES, cpu),
        fit_line(ROLE, unit, "store traffic, bytes", CHANGES, traffic),
    ]


async def follow_changes(world: World, count: int) -> None:
    """Write changes of caller classes and wait until each is in force.

    Args:
      world: The proxy and its surroundings.
      count: How many changes.
    """
    for _ in range(count):
        version = world.proxy.follower.version
        spec = {"weight": 1 + version % 5}
        name = f"class{version}"
        await world.declare(Kind.CALLER_CLASS, name, spec)
        await world.proxy.follower.read_up_to(version + 1)


async def measure_idle(world: World) -> list[Slope]:
    """Return what the reads of the head cost by their number.

    Args:
      world: The proxy and its surroundings.
    """
    proxy = world.proxy
    port = {world.platform_port}
    reads, cpu, traffic = [10.0, 20.0, 40.0], [], []
    for count in reads:
        before = begin_usage()
        for _ in range(int(count)):
            await proxy.follower.read()
        after = end_usage()
        cpu.append(after.cpu - before.cpu)
        traffic.append(float((after.on(port) - before.on(port)).bytes))
    unit = "read of the head"
    return [
        fit_line(ROLE, unit, "processor time, s", reads, cpu),
        fit_line(ROLE, unit, "store traffic, bytes", reads, traffic),
    ]


if __name__ == "__main__":
    print(asyncio.run(measure(1)))
