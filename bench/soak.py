"""A long run of both deployments' mixes under faults, then a judgement.

Everything runs in one process on one loop, over real sockets: two embedded
systems, several hundred callers whose sessions roam, and a storm of faults for
each system. At the end all faults are healed, the replicas come to rest, and
the histories are checked.
"""

import argparse
import asyncio
import itertools
import random
import statistics
import sys
from typing import Any

import attrs

from jackdawcrank.embedded import EmbeddedOptions, EmbeddedSystem
from report import Check, write_result
from soak_parts.caller import TABLE, Caller
from soak_parts.judge import TermWatch, judge, settle
from soak_parts.mix import MOORFELD, PAMOJA, Mix
from soak_parts.records import Answer, Recorder
from soak_parts.storm import Storm

DEFAULT_SECONDS = 60.0
MAX_SECONDS = 600.0
CALLERS_PER_MIX = 150
VMS = 3
GAP_BUCKET_SECONDS = 0.1


@attrs.define
class Deployment:
    """One deployment under test.

    Attributes:
      mix: Its load.
      system: Its proxies and stand-ins.
      recorder: What its callers see.
      storm: Its faults.
      watch: Notes its terms.
      until: When the load ends, on the loop's clock.
    """

    mix: Mix
    system: EmbeddedSystem
    recorder: Recorder
    storm: Storm
    watch: TermWatch
    until: float = 0.0


def options_of(mix: Mix) -> EmbeddedOptions:
    """Return the embedded system's options for a mix."""
    return EmbeddedOptions(
        vms=VMS,
        groups=mix.groups,
        slots=mix.slots,
        connection_limit=mix.connection_limit,
        connect_seconds=mix.connect_seconds,
        lag_seconds=mix.lag_seconds,
        confirm_writes=mix.confirm_writes,
    )


def deployment(mix: Mix, seed: int) -> Deployment:
    """Return a deployment that is not started."""
    system = EmbeddedSystem(options_of(mix))
    storm = Storm(system, random.Random(f"{seed}:{mix.name}:storm"))
    return Deployment(mix, system, Recorder(), storm, TermWatch(system))


async def make_tables(place: Deployment, seed: int) -> None:
    """Create the tables of a deployment's groups."""
    for group in place.mix.groups:
        setup = caller(place, f"setup-{group}", group, seed)
        reply = await setup.send(TABLE)
        setup.hang_up()
        if reply.answer is not Answer.DONE:
            raise RuntimeError(f"no table in {group}: {reply.message}")


def caller(place: Deployment, name: str, group: str, seed: int) -> Caller:
    """Return a caller of a deployment."""
    return Caller(
        name,
        place.system,
        place.mix,
        group,
        place.recorder,
        random.Random(f"{seed}:{name}"),
    )


async def load(
    place: Deployment, seed: int, callers: int, until: float
) -> None:
    """Run a deployment's callers and faults until a time."""
    place.until = until
    watching = asyncio.create_task(place.watch.run())
    groups = place.mix.groups
    sessions = [
        caller(place, f"{place.mix.name[0]}{n}", groups[n % len(groups)], seed)
        for n in range(callers)
    ]
    await asyncio.gather(
        place.storm.run(until), *(session.run(until) for session in sessions)
    )
    settled = await settle(place.system)
    watching.cancel()
    if not settled:
        print(f"{place.mix.name} did not come to rest", file=sys.stderr)


def write_gaps(place: Deployment) -> dict[str, dict[str, float]]:
    """Return the longest time without an acknowledged write, by group."""
    gaps = {}
    for group in place.mix.groups:
        ends = sorted(
            write.ended_at
            for write in place.recorder.writes
            if write.group == group
            and write.answer is Answer.DONE
            and write.ended_at < place.until
        )
        steps = [(b - a, a) for a, b in itertools.pairwise(ends)]
        longest, begin = max(steps, default=(0.0, 0.0))
        gaps[group] = {
            "seconds": round(longest, 3),
            "from_second": round(begin - place.storm.began_at, 1),
        }
    return gaps


def replica_share(place: Deployment) -> float:
    """Return the share of callers' reads that replicas served."""
    counts = {True: 0, False: 0}
    for group in place.system.groups.values():
        for server in group.servers.values():
            for record in server.executed:
                if "FROM entries" in record.sql:
                    counts[record.on_primary] += not record.writes
    total = sum(counts.values())
    return counts[False] / total if total else 0.0


def summary(place: Deployment) -> dict[str, Any]:
    """Return a deployment's figures."""
    recorder = place.recorder
    answers = [write.answer for write in recorder.writes]
    latencies = [
        write.ended_at - write.started_at
        for write in recorder.writes
        if write.answer is Answer.DONE
    ]
    return {
        "faults": place.storm.applied,
        "writes": len(answers),
        "write_answers": {
            str(answer): answers.count(answer) for answer in Answer
        },
        "write_median_ms": round(
            statistics.median(latencies or [0.0]) * 1000, 2
        ),
        "reads": recorder.reads,
        "refused_reads": recorder.refused_reads,
        "replica_read_share": round(replica_share(place), 3),
        "longest_write_gap_seconds": write_gaps(place),
        "terms": {
            name: [term.term for term in terms]
            for name, terms in place.watch.terms.items()
        },
        "error_reasons": recorder.reasons,
        **judge(place.system, recorder, place.watch),
    }


async def soak(seed: int, seconds: float, callers: int) -> dict[str, Any]:
    """Run both deployments; return their figures by name."""
    places = [deployment(mix, seed) for mix in (MOORFELD, PAMOJA)]
    for place in places:
        await place.system.start()
        await make_tables(place, seed)
    until = asyncio.get_running_loop().time() + seconds
    await asyncio.gather(*(load(p, seed, callers, until) for p in places))
    figures = {place.mix.name: summary(place) for place in places}
    for place in places:
        await place.system.close()
    return figures


def checks(figures: dict[str, Any]) -> list[Check]:
    """Return the figures that have a target."""
    found = []
    for name, measured in figures.items():
        rules = (
            ("rule violations", len(measured["violations"])),
            ("own writes missed by reads", len(measured["stale_reads"])),
            ("groups whose servers differ", int(not measured["same_data"])),
            ("unexpected errors of stand-ins", len(measured["broken"])),
        )
        for rule, count in rules:
            found.append(Check(f"{name}: {rule}", count, "0", count == 0))
        done = measured["write_answers"]["done"]
        found.append(
            Check(f"{name}: writes done", done, "more than 0", done > 0)
        )
    return found


def run(seed: int, seconds: float, callers: int) -> bool:
    """Run the soak and write its result; return whether all is well."""
    figures = asyncio.run(soak(seed, seconds, callers))
    figures["seconds"] = seconds
    figures["callers"] = 2 * callers
    named = {k: v for k, v in figures.items() if isinstance(v, dict)}
    return write_result("soak", seed, figures, checks(named))


def main() -> None:
    """Read the command line and run the soak."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--callers", type=int, default=CALLERS_PER_MIX)
    arguments = parser.parse_args()
    seconds = min(arguments.seconds, MAX_SECONDS)
    sys.exit(not run(arguments.seed, seconds, arguments.callers))


if __name__ == "__main__":
    main()
