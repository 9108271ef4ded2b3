"""Measures what each role of a proxy costs per unit, and fits lines.

Each part runs in a process of its own, so that its memory is its own. Parts
that wait run beside those that compute.
"""

import argparse
import asyncio
import collections.abc
import json
import logging
import pathlib
import sys
from typing import Any

import attrs

from report import Check, write_result
from slopes_parts import (
    backend_connections,
    caller_front,
    configuration,
    contention,
    coordination,
    home_statements,
    membership,
    peer_streams,
    time_line,
)
from slopes_parts.capacity import check_budgets, extrapolate, totals
from slopes_parts.events import extrapolate_events
from slopes_parts.fit import Slope
from slopes_parts.page import write_page

Measure = collections.abc.Callable[
    [int], collections.abc.Coroutine[None, None, list[Any]]
]

PARTS: dict[str, Measure] = {
    "caller_front": caller_front.measure,
    "peer_streams": peer_streams.measure,
    "coordination_alone": coordination.measure_alone,
    "coordination_shared": coordination.measure_shared,
    "backend_connections": backend_connections.measure,
    "home_statements": home_statements.measure,
    "configuration": configuration.measure,
    "membership": membership.measure,
    "time_line": time_line.measure,
    "contention": contention.measure,
}
# What runs one after the other; the lanes run side by side.
LANES = (
    ("coordination_alone",),
    ("coordination_shared", "configuration"),
    ("backend_connections", "membership", "time_line", "contention"),
    ("caller_front", "peer_streams", "home_statements"),
)
MIN_SIZES = 3


async def run_part(name: str, seed: int) -> list[dict[str, Any]]:
    """Return what a part measured in a process of its own.

    Args:
      name: The part.
      seed: The seed.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        __file__,
        "--part",
        name,
        "--seed",
        str(seed),
        cwd=pathlib.Path(__file__).parent,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        output, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
    if process.returncode:
        raise RuntimeError(f"{name} ended with {process.returncode}")
    return list(json.loads(output))


async def run_lane(
    names: tuple[str, ...], seed: int
) -> dict[str, list[dict[str, Any]]]:
    """Return what some parts measured, one after the other.

    Args:
      names: The parts.
      seed: The seed.
    """
    return {name: await run_part(name, seed) for name in names}


async def run(seed: int) -> list[Slope]:
    """Return every slope.

    Args:
      seed: The seed of the proxies' jitter.
    """
    async with asyncio.TaskGroup() as group:
        lanes = [group.create_task(run_lane(lane, seed)) for lane in LANES]
    measured = {
        name: rows for lane in lanes for name, rows in lane.result().items()
    }
    rows = measured.pop("coordination_alone")
    rows += measured.pop("coordination_shared")
    slopes = coordination.fit_rows(rows)
    for name in PARTS:
        slopes += [Slope(**fields) for fields in measured.get(name, [])]
    return slopes


def print_part(name: str, seed: int) -> None:
    """Measure one part and print it as JSON.

    Args:
      name: The part.
      seed: The seed.
    """
    logging.disable(logging.WARNING)
    results = asyncio.run(PARTS[name](seed))
    plain = [
        attrs.asdict(result) if isinstance(result, Slope) else result
        for result in results
    ]
    print(json.dumps(plain))


def main() -> None:
    """Measure every slope and write the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--part", choices=PARTS)
    parser.add_argument("--write-page", action="store_true")
    arguments = parser.parse_args()
    if arguments.part:
        print_part(arguments.part, arguments.seed)
        return
    slopes = asyncio.run(run(arguments.seed))
    fewest = min(len(set(slope.sizes)) for slope in slopes)
    lines = extrapolate(slopes)
    figures = {
        "slopes": [attrs.asdict(slope) for slope in slopes],
        "full_size": [attrs.asdict(line) for line in lines],
        "totals": totals(lines),
        "events": [attrs.asdict(line) for line in extrapolate_events(slopes)],
    }
    sizes = Check(
        "sizes at which each slope was measured",
        fewest,
        f"at least {MIN_SIZES}",
        fewest >= MIN_SIZES,
    )
    if arguments.write_page:
        write_page(figures, arguments.seed)
    write_result(
        "slopes", arguments.seed, figures, [sizes, *check_budgets(lines)]
    )


if __name__ == "__main__":
    main()
