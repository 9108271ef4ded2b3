"""A store outage of an hour while writes go on."""

import asyncio
import itertools
import statistics

import attrs

from jackdawcrank_policy.values import GroupSpec
from jackdawcrank_standins.history import (
    CallerOutcome,
    check_history,
    run_virtual,
)
from writes_model.deployment import Deployment
from writes_model.model_store import STORE
from writes_model.world import GROUP, World

OUTAGE_SECONDS = 3600.0
WRITE_PAUSE_SECONDS = 0.5


@attrs.frozen
class Outage:
    """What an outage did to writes.

    Attributes:
      writes: The writes that were sent.
      done: Those acknowledged at the first attempt.
      median_seconds: The median time to an acknowledgement.
      longest_gap_seconds: The longest time without an acknowledgement.
      terms: The terms that were opened.
      violations: The rules that the history breaks.
    """

    writes: int
    done: int
    median_seconds: float
    longest_gap_seconds: float
    terms: int
    violations: int


def outage(deployment: Deployment, seed: int) -> Outage:
    """Run a group through an outage of the store.

    Args:
      deployment: The deployment.
      seed: The seed.
    """
    result = run_virtual(_run(deployment, seed))
    assert isinstance(result, Outage)
    return result


async def _run(deployment: Deployment, seed: int) -> Outage:
    world = World(deployment, seed, GroupSpec(GROUP))
    await world.start()
    world.network.down.add(STORE)
    started = world.now
    taken = []
    while world.now < started + OUTAGE_SECONDS:
        await asyncio.sleep(WRITE_PAUSE_SECONDS)
        world.writes += 1
        sent_at = world.now
        vm = world.rng.choice(world.homes)
        result = await world.proxies[vm].write(f"w{world.writes}")
        world.record(f"w{world.writes}", result.outcome, result.term)
        if result.outcome is CallerOutcome.DONE:
            taken.append((sent_at, world.now))
    await world.close()
    ends = [started, *(end for _, end in taken)]
    gaps = [later - end for end, later in itertools.pairwise(ends)]
    return Outage(
        writes=world.writes,
        done=len(taken),
        median_seconds=statistics.median(end - sent for sent, end in taken),
        longest_gap_seconds=max(gaps),
        terms=len(world.history.terms),
        violations=len(check_history(world.history)),
    )
