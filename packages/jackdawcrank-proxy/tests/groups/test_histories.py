"""Tests of invariants over whole runs with overlapping faults."""

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
FAULT_COUNT = 5
RECOVERY_SECONDS = 20.0


async def inject_fault(cluster: Any, rng: random.Random) -> None:
    """Inject one random fault and remove it after a random time."""
    seconds = rng.uniform(0.2, 8.0)
    server = rng.choice([*SERVERS, cluster.row.primary])
    match rng.choice(["part", "part", "refuse", "store", "move"]):
        case "part":
            homes = rng.sample(HOMES, rng.randint(0, 2))
            others = rng.sample(SERVERS, rng.randint(0, 1))
            side = rng.randint(1, 2)
            for place in (server, *homes, *others):
                cluster.partition_of[place] = side
            await asyncio.sleep(seconds)
            for place in (server, *homes, *others):
                cluster.partition_of.pop(place, None)
        case "refuse":
            cluster.refusing.add(server)
            await asyncio.sleep(seconds)
            cluster.refusing.discard(server)
        case "store":
            cluster.store.down = True
            await asyncio.sleep(seconds)
            cluster.store.down = False
        case "move":
            await cluster.agents[rng.choice(HOMES)].switch_over()


async def write_continuously(
    cluster: Any, rng: random.Random, history: History
) -> None:
    """Write through random homes and record acknowledged writes."""
    for number in range(10_000):
        await asyncio.sleep(0.05)
        if rng.random() < 0.3:
            cluster.replicate(rng.choice(SERVERS))
        vm = rng.choice(HOMES)
        term = cluster.write(vm, f"w{number}")
        if term is not None:
            history.answers.append(
                CallerRecord(
                    f"w{number}",
                    CallerOutcome.DONE,
                    cluster.timers[vm].now(),
                    term,
                    cluster.agents[vm].context.spec.confirm_writes,
                )
            )


def complete(history: History, cluster: Any) -> None:
    """Add the terms and logs of a finished run to its history."""
    terms: dict[int, TermRecord] = {}
    for row, at in zip(
        cluster.store.openings, cluster.store.opened_at, strict=True
    ):
        terms.setdefault(row.term, TermRecord(row.term, at, row.primary))
    history.terms = list(terms.values())
    history.logs = {
        name: tuple(server.log) for name, server in cluster.servers.items()
    }
    history.final_primary = cluster.row.primary


@pytest.mark.parametrize("home", HOMES)
def test_home_partitioned_with_primary_keeps_invariants(
    run_scenario: Callable[..., Any], home: str
) -> None:
    history = History()

    async def scenario(cluster: Any) -> None:
        cluster.partition_of = {cluster.row.primary: 1, home: 1}
        rng = random.Random(1)
        writer = asyncio.create_task(write_continuously(cluster, rng, history))
        await asyncio.sleep(8.0)
        cluster.partition_of.clear()
        await asyncio.sleep(4.0)
        writer.cancel()

    cluster = run_scenario(scenario)
    complete(history, cluster)
    assert cluster.row.term == 2
    assert {answer.term for answer in history.answers} == {1, 2}
    assert check_history(history) == []


@pytest.mark.parametrize("confirm_writes", [False, True])
@pytest.mark.parametrize("seed", range(12))
def test_overlapping_faults_keep_invariants_and_writes(
    run_scenario: Callable[..., Any], seed: int, confirm_writes: bool
) -> None:
    rng = random.Random(seed)
    history = History()

    async def scenario(cluster: Any) -> None:
        writer = asyncio.create_task(write_continuously(cluster, rng, history))
        faults = []
        for _ in range(FAULT_COUNT):
            faults.append(asyncio.create_task(inject_fault(cluster, rng)))
            await asyncio.sleep(rng.uniform(0.0, 3.0))
        await asyncio.gather(*faults)
        await asyncio.sleep(RECOVERY_SECONDS)
        writer.cancel()

    spec = GroupSpec("ledger", confirm_writes=confirm_writes)
    cluster = run_scenario(scenario, spec)
    complete(history, cluster)
    assert cluster.row.phase is GroupPhase.ACTIVE
    assert len(history.answers) > 300
    assert history.answers[-1].term == cluster.row.term
    assert check_history(history) == []
