"""Whole runs in which faults follow and overlap one another."""

import asyncio

import attrs

from jackdawcrank_policy.values import GroupSpec
from jackdawcrank_standins.history import (
    CallerOutcome,
    Violation,
    check_history,
    run_virtual,
)
from writes_model.deployment import Deployment
from writes_model.model_store import STORE
from writes_model.world import GROUP, World

FAULTS = 6
FAULT_SECONDS = (0.2, 9.0)
PAUSE_BETWEEN_SECONDS = (0.0, 4.0)
REST_SECONDS = 25.0
WRITE_PAUSE_SECONDS = 0.1
LOSE_FRACTION = 0.1


@attrs.frozen
class Run:
    """What a run gave.

    Attributes:
      violations: The rules that its history breaks.
      writes: The writes that callers began.
      done: Those acknowledged in the end.
      not_run: Those refused for certain.
      unknown: Those whose fate the callers do not know.
      terms: The terms that were opened.
      open_at_end: Whether the group serves writes at the end.
    """

    violations: tuple[Violation, ...]
    writes: int
    done: int
    not_run: int
    unknown: int
    terms: int
    open_at_end: bool


def turmoil(deployment: Deployment, seed: int) -> Run:
    """Run a group through overlapping faults and check its history.

    Args:
      deployment: The deployment.
      seed: The seed; odd ones require confirmations.
    """
    run = run_virtual(_run(deployment, seed))
    assert isinstance(run, Run)
    return run


async def _run(deployment: Deployment, seed: int) -> Run:
    spec = GroupSpec(GROUP, confirm_writes=seed % 2 == 1)
    world = World(deployment, seed, spec)
    for proxy in world.proxies.values():
        proxy.store.lose_fraction = LOSE_FRACTION
    await world.start()
    world.spawn(_write(world))
    for _ in range(FAULTS):
        world.spawn(_fault(world))
        await asyncio.sleep(world.rng.uniform(*PAUSE_BETWEEN_SECONDS))
    await asyncio.sleep(FAULT_SECONDS[1] + REST_SECONDS)
    open_at_end = world.is_open()
    await world.close()
    outcomes = [answer.outcome for answer in world.history.answers]
    return Run(
        violations=tuple(check_history(world.history)),
        writes=world.writes,
        done=outcomes.count(CallerOutcome.DONE),
        not_run=outcomes.count(CallerOutcome.NOT_RUN),
        unknown=outcomes.count(CallerOutcome.UNKNOWN),
        terms=len(world.history.terms),
        open_at_end=open_at_end,
    )


async def _write(world: World) -> None:
    """Begin writes through all homes."""
    while not world.closed:
        await asyncio.sleep(WRITE_PAUSE_SECONDS)
        world.writes += 1
        vm = world.rng.choice(world.homes)
        world.spawn(world.write_until_known(vm, f"w{world.writes}"))


async def _fault(world: World) -> None:
    """Cause one fault at a random place and mend it later."""
    network = world.network
    servers = [*world.servers, world.primary, world.primary]
    place = world.rng.choice([*servers, *world.homes, STORE])
    seconds = world.rng.uniform(*FAULT_SECONDS)
    kind = world.rng.choice(["down", "cut", "pause", "switch"])
    if kind == "switch":
        agent = world.proxies[world.rng.choice(world.homes)].agent
        await agent.switch_over()
    elif kind == "cut":
        side = world.rng.randrange(1, 3)
        others = world.rng.sample([*world.servers, *world.homes], 2)
        for one in (place, *others):
            network.sides[one] = side
        await asyncio.sleep(seconds)
        for one in (place, *others):
            network.sides.pop(one, None)
    elif kind == "pause" and place in world.servers:
        if place not in network.resumed:
            network.pause(place)
            await asyncio.sleep(seconds)
            network.resume(place)
    else:
        network.down.add(place)
        await asyncio.sleep(seconds)
        network.down.discard(place)
