"""Short runs of the writes policy under faults, on virtual time."""

import asyncio
import itertools
from collections.abc import Callable

import pytest

from jackdawcrank_policy.values import GroupSpec
from jackdawcrank_standins.history import (
    CallerOutcome,
    check_history,
    run_virtual,
)
from writes_model.deployment import (
    DEPLOYMENTS,
    MOORFELD,
    PAMOJA,
    Deployment,
)
from writes_model.model_store import STORE
from writes_model.turmoil import turmoil
from writes_model.world import GROUP, World

FAULT_SECONDS = 5.0
REST_SECONDS = 12.0
WRITE_PAUSE_SECONDS = 0.1
LOSE_FRACTION = 0.5
SLOW_STORE_SECONDS = 1.2

NAMES = [one.name for one in DEPLOYMENTS]
Fault = Callable[[World], Callable[[], None]]


def primary_crash(world: World) -> Callable[[], None]:
    place = world.primary
    world.network.refusing.add(place)
    return lambda: world.network.refusing.discard(place)


def primary_partition(world: World) -> Callable[[], None]:
    """Cut the primary off together with one home."""
    places = (world.primary, world.homes[0])
    world.network.sides.update(dict.fromkeys(places, 1))

    def heal() -> None:
        for place in places:
            world.network.sides.pop(place, None)

    return heal


def primary_pause(world: World) -> Callable[[], None]:
    place = world.primary
    if place in world.network.resumed:
        return lambda: None
    world.network.pause(place)
    return lambda: world.network.resume(place)


def slow_store(world: World) -> Callable[[], None]:
    usual = world.network.service_seconds[STORE]
    slow = SLOW_STORE_SECONDS
    world.network.service_seconds[STORE] = lambda: slow

    def heal() -> None:
        world.network.service_seconds[STORE] = usual

    return heal


def lost_store_answers(world: World) -> Callable[[], None]:
    def lose(fraction: float) -> None:
        for proxy in world.proxies.values():
            proxy.store.lose_fraction = fraction

    lose(LOSE_FRACTION)
    return lambda: lose(0.0)


def coordinator_loss(world: World) -> Callable[[], None]:
    place = world.coordinator
    world.network.down.add(place)
    return lambda: world.network.down.discard(place)


FAULTS: tuple[Fault, ...] = (
    primary_crash,
    primary_partition,
    primary_pause,
    slow_store,
    lost_store_answers,
    coordinator_loss,
)
PAIRS = tuple(itertools.combinations(FAULTS, 2))


async def write(world: World) -> None:
    """Begin a write through each home in turn."""
    for vm in itertools.cycle(world.homes):
        await asyncio.sleep(WRITE_PAUSE_SECONDS)
        world.writes += 1
        world.spawn(world.write_until_known(vm, f"w{world.writes}"))


async def strike(
    deployment: Deployment, seed: int, rounds: tuple[tuple[Fault, ...], ...]
) -> World:
    """Cause each round's faults at once, and mend them before the next."""
    confirm = seed % 2 == 1
    world = World(deployment, seed, GroupSpec(GROUP, confirm_writes=confirm))
    await world.start()
    world.spawn(write(world))
    for faults in rounds:
        heals = [fault(world) for fault in faults]
        await asyncio.sleep(FAULT_SECONDS)
        for heal in heals:
            heal()
        await asyncio.sleep(REST_SECONDS)
    assert world.is_open()
    await world.close()
    return world


def check(world: World, rounds: int) -> None:
    """Assert the history's rules and that writes went on to the end."""
    assert check_history(world.history) == []
    done = [
        answer
        for answer in world.history.answers
        if answer.outcome is CallerOutcome.DONE
    ]
    assert len(done) > world.writes / 2
    rest_began = rounds * (FAULT_SECONDS + REST_SECONDS) - REST_SECONDS
    assert max(answer.answered_at for answer in done) > rest_began


@pytest.mark.parametrize(
    ("deployment", "seed"), [(MOORFELD, 1), (PAMOJA, 2)], ids=NAMES
)
def test_faults_one_after_the_other(deployment: Deployment, seed: int) -> None:
    rounds = tuple((fault,) for fault in FAULTS)
    world = run_virtual(strike(deployment, seed, rounds))
    check(world, len(rounds))
    assert len(world.history.terms) > 2


@pytest.mark.parametrize(
    ("deployment", "seed"),
    [(MOORFELD, 3), (PAMOJA, 4)],
    ids=NAMES,
)
def test_two_faults_at_once(deployment: Deployment, seed: int) -> None:
    world = run_virtual(strike(deployment, seed, PAIRS))
    check(world, len(PAIRS))
    assert len(world.history.terms) > 2


@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=NAMES)
@pytest.mark.parametrize("seed", range(1, 5))
def test_overlapping_faults_keep_the_rules(
    deployment: Deployment, seed: int
) -> None:
    run = turmoil(deployment, seed)
    assert run.violations == ()
    assert run.open_at_end
    assert run.done > run.writes / 2
