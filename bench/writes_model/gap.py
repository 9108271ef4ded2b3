"""Measures the failover gap of one run."""

import asyncio
import itertools

import attrs

from jackdawcrank_policy.detection import PrimaryDetector
from jackdawcrank_policy.values import GroupSpec
from jackdawcrank_standins.history import check_history, run_virtual
from jackdawcrank_wire.events import EventKind
from writes_model.deployment import Deployment
from writes_model.fault import CAUSES, Fault
from writes_model.world import (
    FINE_WRITE_INTERVAL_SECONDS,
    GROUP,
    WRITE_INTERVAL_SECONDS,
    World,
)

CALM_SECONDS = 3.1
LEAD_SECONDS = 0.15
CHECK_SECONDS = 0.05
SETTLE_SECONDS = 0.3
WATCH_SECONDS = 5.2
LIMIT_SECONDS = 15.0
BASELINE_SILENCE_SECONDS = 3.0
WATCHED_WHOLE = frozenset({Fault.PAUSE, Fault.SLOW_SERVER})


@attrs.frozen
class Gap:
    """The gap of one run and its parts, in seconds.

    Attributes:
      gap: The longest time without an acknowledged write at the homes that
        callers can use.
      detection: From the fault to the claim; None without a promotion.
      fencing: From the claim to the choice.
      choice: From the choice to the open term.
      spread: From the open term to the first write acknowledged in it.
      terms: The terms that were opened after the fault.
      violations: The rules that the run's history breaks.
    """

    gap: float
    detection: float | None
    fencing: float | None
    choice: float | None
    spread: float | None
    terms: int
    violations: int


def measure(
    deployment: Deployment, fault: Fault, seed: int, baseline: bool = False
) -> Gap:
    """Return the gap of one run.

    Args:
      deployment: The deployment.
      fault: What happens.
      seed: The seed; odd ones require confirmations.
      baseline: Whether the primary is suspected after a fixed silence and
        leases are always waited out.
    """
    result = run_virtual(_run(deployment, fault, seed, baseline))
    assert isinstance(result, Gap)
    return result


async def _run(
    deployment: Deployment, fault: Fault, seed: int, baseline: bool
) -> Gap:
    spec = GroupSpec(GROUP, confirm_writes=seed % 2 == 1)
    world = World(deployment, seed, spec, gives_up=not baseline)
    if baseline:
        for proxy in world.proxies.values():
            detector = PrimaryDetector(BASELINE_SILENCE_SECONDS)
            proxy.agent.probes.detector = detector
    await world.start()
    planned = fault is Fault.SWITCH_OVER
    if planned:
        await asyncio.sleep(CALM_SECONDS)
    world.begin_writes(
        FINE_WRITE_INTERVAL_SECONDS if planned else WRITE_INTERVAL_SECONDS
    )
    await asyncio.sleep(LEAD_SECONDS)
    started = world.now
    homes = await CAUSES[fault](world)
    await _watch(world, fault, started, homes)
    await world.close()
    return _gap(world, started, homes)


async def _watch(
    world: World, fault: Fault, started: float, homes: tuple[str, ...]
) -> None:
    """Wait until the fault is over."""
    if fault in WATCHED_WHOLE:
        await asyncio.sleep(WATCH_SECONDS)
        return
    while world.now < started + LIMIT_SECONDS:
        await asyncio.sleep(CHECK_SECONDS)
        if any(ack.term > 1 and ack.vm in homes for ack in world.acks[-20:]):
            break
    await asyncio.sleep(SETTLE_SECONDS)


def _gap(world: World, started: float, homes: tuple[str, ...]) -> Gap:
    times = [ack.at for ack in world.acks if ack.vm in homes]
    times = [started, *(at for at in times if at >= started), world.now]
    longest = max(later - at for at, later in itertools.pairwise(times))
    detection = fencing = choice = spread = None
    claims = world.events_of(EventKind.PROMOTION_PREPARING, started)
    chosen = world.events_of(EventKind.PROMOTION_PRIMARY_CHOSEN, started)
    opened = [term for term in world.history.terms if term.term > 1]
    first = [ack.at for ack in world.acks if ack.term > 1 and ack.vm in homes]
    if claims and chosen and opened and first:
        before = [one.at for one in chosen if one.at <= opened[0].opened_at]
        detection = claims[0].at - started
        fencing = before[-1] - claims[0].at
        choice = opened[0].opened_at - before[-1]
        spread = first[0] - opened[0].opened_at
    violations = check_history(world.history)
    return Gap(
        longest,
        detection,
        fencing,
        choice,
        spread,
        len(opened),
        len(violations),
    )
