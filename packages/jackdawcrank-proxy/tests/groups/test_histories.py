"""Histories of whole runs under overlapping faults."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import pytest

from jackdawcrank_policy.values import GroupPhase, GroupSpec
from jackdawcrank_standins.history import (
    CallerOutcome,
    CallerRecord,
    History,
    TermRecord,
    check_history,
)

SERVERS = ("s1", "s2", "s3")
HOMES = ("vm1", "vm2", "vm3")
FAULTS = 5
REST_SECONDS = 20.0


async def break_something(world: Any, rng: random.Random) -> None:
    """Cause one fault and mend it later."""
    seconds = rng.uniform(0.2, 8.0)
    server = rng.choice([*SERVERS, world.row.primary])
    match rng.choice(["part", "part", "refuse", "store", "move"]):
        case "part":
            homes = rng.sample(HOMES, rng.randint(0, 2))
            others = rng.sample(SERVERS, rng.randint(0, 1))
            side = rng.randint(1, 2)
            for place in (server, *homes, *others):
                world.sides[place] = side
            await asyncio.sleep(seconds)
            for place in (server, *homes, *others):
                world.sides.pop(place, None)
        case "refuse":
            world.refusing.add(server)
            await asyncio.sleep(seconds)
            world.refusing.discard(server)
        case "store":
            world.store.down = True
            await asyncio.sleep(seconds)
            world.store.down = False
        case "move":
            await world.agents[rng.choice(HOMES)].switch_over()


async def write_on(world: Any, rng: random.Random, history: History) -> None:
    """Write through the homes and record what is acknowledged."""
    for number in range(10_000):
        await asyncio.sleep(0.05)
        if rng.random() < 0.3:
            world.replicate(rng.choice(SERVERS))
        vm = rng.choice(HOMES)
        term = world.write(vm, f"w{number}")
        if term is not None:
            history.answers.append(
                CallerRecord(
                    f"w{number}",
                    CallerOutcome.DONE,
                    world.timers[vm].now(),
                    term,
                    world.agents[vm].context.spec.confirm_writes,
                )
            )


def complete(history: History, world: Any) -> None:
    """Add the terms and logs of a run that is over."""
    terms: dict[int, TermRecord] = {}
    for row, at in zip(
        world.store.openings, world.store.opened_at, strict=True
    ):
        terms.setdefault(row.term, TermRecord(row.term, at, row.primary))
    history.terms = list(terms.values())
    history.logs = {
        name: tuple(server.log) for name, server in world.servers.items()
    }
    history.final_primary = world.row.primary


@pytest.mark.parametrize("home", HOMES)
def test_a_home_cut_off_with_the_primary_keeps_the_rules(
    play: Callable[..., Any], home: str
) -> None:
    history = History()

    async def scenario(world: Any) -> None:
        world.sides = {world.row.primary: 1, home: 1}
        rng = random.Random(1)
        writer = asyncio.create_task(write_on(world, rng, history))
        await asyncio.sleep(8.0)
        world.sides.clear()
        await asyncio.sleep(4.0)
        writer.cancel()

    world = play(scenario)
    complete(history, world)
    assert world.row.term == 2
    assert {answer.term for answer in history.answers} == {1, 2}
    assert check_history(history) == []


@pytest.mark.parametrize("confirm_writes", [False, True])
@pytest.mark.parametrize("seed", range(12))
def test_no_rule_is_broken_and_writes_go_on(
    play: Callable[..., Any], seed: int, confirm_writes: bool
) -> None:
    rng = random.Random(seed)
    history = History()

    async def scenario(world: Any) -> None:
        writer = asyncio.create_task(write_on(world, rng, history))
        faults = []
        for _ in range(FAULTS):
            faults.append(asyncio.create_task(break_something(world, rng)))
            await asyncio.sleep(rng.uniform(0.0, 3.0))
        await asyncio.gather(*faults)
        await asyncio.sleep(REST_SECONDS)
        writer.cancel()

    spec = GroupSpec("ledger", confirm_writes=confirm_writes)
    world = play(scenario, spec)
    complete(history, world)
    assert world.row.phase is GroupPhase.ACTIVE
    assert len(history.answers) > 300
    assert history.answers[-1].term == world.row.term
    assert check_history(history) == []
