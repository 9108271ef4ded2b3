"""Measures the share of reads that replicas serve, in virtual time.

Sessions of several think times read and write through three proxies on a
primary and two lagging replicas, with the sizes and latencies of both
deployments. Three ways to send reads are compared, and every answer is judged
against the true log.
"""

import collections
import itertools
from typing import Any

import attrs

from reads_model.deployment import MOORFELD, PAMOJA
from reads_model.policies import Policy
from reads_model.replication import LagShape
from reads_model.simulation import Scenario, Simulation
from reads_model.workload import KINDS, Tally
from report import Check, seed_argument, write_result

LAGS_SECONDS = (0.0, 0.1, 0.5, 1.0, 2.0, 5.0)
BASELINE_LAGS_SECONDS = (0.0, 0.5, 2.0, 5.0)
STATED_AGE_TARGET = 0.95
TOKEN_TARGET = 0.80
STATED = "stated_age"


def lags_of(policy: Policy) -> tuple[float, ...]:
    """Return the lags over which a way to send reads is run."""
    if policy is Policy.EVIDENCE:
        return LAGS_SECONDS
    return BASELINE_LAGS_SECONDS


def scenarios() -> list[Scenario]:
    """Return every scenario of the comparison."""
    return [
        Scenario(deployment, policy, shape, lag)
        for deployment in (MOORFELD, PAMOJA)
        for policy in Policy
        for shape in LagShape
        for lag in lags_of(policy)
    ]


def probe_scenarios() -> list[Scenario]:
    """Return the scenarios that compare intervals of probes."""
    base = Scenario(MOORFELD, Policy.EVIDENCE, LagShape.STEADY, 0.5)
    return [
        attrs.evolve(base, probe_interval=interval, demand_probes=demand)
        for interval in (0.1, 1.0)
        for demand in (False, True)
    ]


def add(total: Tally, part: Tally) -> None:
    """Add a tally to another."""
    total.reads += part.reads
    total.eligible += part.eligible
    total.replica += part.replica
    total.eligible_replica += part.eligible_replica
    total.violations += part.violations
    total.seconds += part.seconds


def percentile(seconds: list[float], share: float) -> float:
    """Return a percentile in milliseconds."""
    ordered = sorted(seconds)
    index = min(len(ordered) - 1, int(share * len(ordered)))
    return round(ordered[index] * 1000, 1) if ordered else 0.0


def figures(tally: Tally) -> dict[str, float]:
    """Return a tally as figures."""
    return {
        "reads": tally.reads,
        "share_by_replicas": round(tally.replica / max(1, tally.reads), 3),
        "eligible_share": round(tally.eligible / max(1, tally.reads), 3),
        "share_of_eligible_by_replicas": round(eligible_share(tally), 3),
        "violations": tally.violations,
        "median_ms": percentile(tally.seconds, 0.5),
        "p99_ms": percentile(tally.seconds, 0.99),
    }


def eligible_share(tally: Tally) -> float:
    """Return the share of eligible reads that replicas served."""
    return tally.eligible_replica / max(1, tally.eligible)


Totals = dict[tuple[str, ...], Tally]


def run_all(seed: int) -> Totals:
    """Run every scenario; return tallies by policy, lag and session kind."""
    totals: Totals = collections.defaultdict(Tally)
    for scenario in scenarios():
        simulation = Simulation(scenario, seed).run()
        policy, lag = scenario.policy.value, f"{scenario.lag:g}s"
        shape = scenario.shape.value
        place = scenario.deployment.name
        for kind, tally in simulation.tallies.items():
            group = STATED if kind == STATED else "token"
            where = ("all", place, f"{shape} {lag}")
            for key in itertools.product((policy,), where, {group, kind}):
                add(totals[key], tally)
    return totals


def run_probes(seed: int) -> list[dict[str, Any]]:
    """Return the shares and the cost of several ways to probe."""
    rows = []
    for scenario in probe_scenarios():
        simulation = Simulation(scenario, seed).run()
        total = Tally()
        for kind in KINDS:
            if kind.name != STATED:
                add(total, simulation.tallies[kind.name])
        rows.append(
            {
                "interval_seconds": scenario.probe_interval,
                "on_demand": scenario.demand_probes,
                "probes_per_second_and_home": round(
                    simulation.probes / 3 / scenario.seconds, 1
                ),
                "token": figures(total),
            }
        )
    return rows


def checks(totals: Totals) -> list[Check]:
    """Return the figures that have a target."""
    found = []
    evidence = Policy.EVIDENCE.value
    for group, target in ((STATED, STATED_AGE_TARGET), ("token", TOKEN_TARGET)):
        total = totals[evidence, "all", group]
        worst = min(
            eligible_share(tally)
            for (policy, place, kind), tally in totals.items()
            if policy == evidence and kind == group and place != "all"
        )
        shares = {
            "eligible reads": eligible_share(total),
            "eligible reads, worst lag": worst,
            "all reads": total.replica / total.reads,
        }
        for name, share in shares.items():
            text = f">= {target:.0%}"
            met = share >= target
            label = f"{group}: share of {name} by replicas"
            found.append(Check(label, round(share, 3), text, met))
        broken = total.violations
        label = f"{group}: violations"
        found.append(Check(label, broken, "0", broken == 0))
    return found


def run(seed: int) -> bool:
    """Run the benchmark and write its result.

    Args:
      seed: The seed of every run.

    Returns:
      Whether every target is met.
    """
    totals = run_all(seed)
    result: dict[str, Any] = {}
    for (policy, place, kind), tally in totals.items():
        by_place = result.setdefault(policy, {}).setdefault(place, {})
        by_place[kind] = figures(tally)
    result["probes at a steady lag of 0.5 s"] = run_probes(seed)
    return write_result("replica_reads", seed, result, checks(totals))


def main() -> None:
    """Run the benchmark from the command line."""
    run(seed_argument(__doc__))


if __name__ == "__main__":
    main()
