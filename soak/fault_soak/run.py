"""Runs the soak: `python -m fault_soak.run --seeds 1-50 --seconds 20`."""

import asyncio
import pathlib
import random
import signal
import sys
import tempfile

import attrs
import click

from fault_soak.cable import Fault
from fault_soak.callers import Caller, Memory
from fault_soak.faults import Faults
from fault_soak.world import GROUP, World

# A change of primary is over in 7 s at the latest.
CALM_SECONDS = 8.0


@attrs.frozen
class Verdict:
    """What one run showed.

    Attributes:
      seed: Its seed.
      broken: The promises that were broken, in words.
      answers: Answers by code.
      promotions: Changes of primary.
      faults: What was done, in order.
      folder: Where the logs lie.
    """

    seed: int
    broken: tuple[str, ...]
    answers: dict[str, int]
    promotions: int
    faults: tuple[str, ...]
    folder: pathlib.Path


async def soak(
    seed: int, seconds: float, proxies: int, callers: int
) -> Verdict:
    """Play one seed and judge it.

    Args:
      seed: Decides the faults and the callers' choices.
      seconds: How long faults strike.
      proxies: Proxy processes.
      callers: Callers at once.
    """
    rng = random.Random(seed)
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    world = World(folder, proxies, rng)
    memory = Memory()
    faults = Faults(world)
    try:
        await world.start()
        work = [
            asyncio.create_task(
                Caller(
                    f"c{n}", world, memory, random.Random(f"{seed}-{n}")
                ).run()
            )
            for n in range(callers)
        ]
        striking = asyncio.create_task(faults.run())
        await asyncio.sleep(seconds)
        await stop([striking])
        await calm(world)
        await stop(work)
        judge(world, memory)
    finally:
        await world.close()
    return Verdict(
        seed,
        tuple(memory.broken),
        memory.answers,
        world.platform.groups[GROUP].term - 1,
        tuple(faults.told),
        folder,
    )


async def stop(tasks: "list[asyncio.Task[None]]") -> None:
    """Cancel tasks; pass on what went wrong in them."""
    for task in tasks:
        task.cancel()
    for outcome in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(outcome, Exception):
            raise outcome


async def calm(world: World) -> None:
    """End all faults and wait until the system has recovered."""
    platform = world.platform
    platform.lose_orders = 0
    for cable in platform.cables.values():
        cable.set_fault(Fault.NONE)
    for server in platform.groups[GROUP].servers.values():
        server.replication_cut = server.draining = False
        server.lost_answers = 0
        if not server.running:
            await server.start()
        server.report()
    for proxy in world.proxies:
        world.signal(proxy, signal.SIGCONT)
        if proxy.process and proxy.process.returncode is not None:
            await world.start_proxy(proxy)
    await asyncio.sleep(CALM_SECONDS)


def judge(world: World, memory: Memory) -> None:
    """Compare what callers were told with what the primary holds."""
    primary = world.platform.groups[GROUP].primary()
    if primary is None:
        memory.broken.append("RECOVER: no primary after the calm")
        return
    writes = [one for commit in primary.log for one in commit.writes]
    held = dict(writes)
    counts: dict[str, int] = {}
    for item, _ in writes:
        counts[item] = counts.get(item, 0) + 1
    for item, value in memory.kept.items():
        if held.get(item) != value:
            memory.broken.append(f"LOST: {item} was acknowledged")
    for item in memory.refused & held.keys():
        memory.broken.append(f"REFUSED: {item} is kept all the same")
    for item, count in counts.items():
        if count > 1:
            memory.broken.append(f"TWICE: {item} took effect {count} times")
    for one, two in memory.pairs:
        if (one in held) != (two in held):
            memory.broken.append(f"PINNED: only one of {one}, {two} is kept")


def parse_seeds(text: str) -> list[int]:
    """Return the seeds written as `3,5-9`.

    Args:
      text: The written form.
    """
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


@click.command()
@click.option("--seeds", default="1-3", help="Seeds, such as 3,5-9.")
@click.option("--seconds", default=20.0, help="How long faults strike.")
@click.option("--proxies", default=4, help="Proxy processes.")
@click.option("--callers", default=8, help="Callers at once.")
@click.option("--jobs", default=1, help="Seeds at once.")
def main(
    seeds: str, seconds: float, proxies: int, callers: int, jobs: int
) -> None:
    """Play seeds and print a verdict a line; status 1 if one is broken."""

    async def play() -> int:
        gate = asyncio.Semaphore(jobs)
        bad = 0

        async def one(seed: int) -> None:
            nonlocal bad
            async with gate:
                verdict = await soak(seed, seconds, proxies, callers)
            bad += bool(verdict.broken)
            word = "BROKEN" if verdict.broken else "kept"
            click.echo(
                f"seed {seed}: {word}; answers {verdict.answers}; "
                f"promotions {verdict.promotions}; logs {verdict.folder}"
            )
            for text in verdict.broken[:5]:
                click.echo(f"  {text}")

        await asyncio.gather(*(one(seed) for seed in parse_seeds(seeds)))
        return bad

    sys.exit(1 if asyncio.run(play()) else 0)


if __name__ == "__main__":
    main()
