"""Checks the histories of whole runs under overlapping faults."""

import concurrent.futures
import functools

import attrs

from report import Check, seed_argument, write_result
from writes_model.deployment import DEPLOYMENTS
from writes_model.outage import outage
from writes_model.turmoil import turmoil

SEEDS = 100
WORKERS = 8


def run(seed: int) -> tuple[dict[str, object], list[Check]]:
    """Run and check the histories.

    Args:
      seed: The first seed; runs take the seeds that follow.
    """
    figures: dict[str, object] = {}
    checks: list[Check] = []
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        outages = [pool.submit(outage, one, seed) for one in DEPLOYMENTS]
        for deployment in DEPLOYMENTS:
            name = deployment.name
            work = functools.partial(turmoil, deployment)
            runs = list(pool.map(work, range(seed, seed + SEEDS)))
            broken = [
                f"seed {seed + index}: {violation.rule} {violation.detail}"
                for index, one in enumerate(runs)
                for violation in one.violations
            ]
            stuck = sum(1 for one in runs if not one.open_at_end)
            figures[f"{name} turmoil"] = {
                "runs": len(runs),
                "writes": sum(one.writes for one in runs),
                "done": sum(one.done for one in runs),
                "not_run": sum(one.not_run for one in runs),
                "unknown": sum(one.unknown for one in runs),
                "terms": sum(one.terms for one in runs),
                "runs_not_open_at_the_end": stuck,
                "violations": broken[:20],
            }
            checks += [
                Check(f"{name} violations", len(broken), "0", not broken),
                Check(f"{name} runs not open", stuck, "0", not stuck),
            ]
        for deployment, future in zip(DEPLOYMENTS, outages, strict=True):
            result = future.result()
            name = f"{deployment.name} store outage of an hour"
            figures[name] = attrs.asdict(result)
            refused = result.writes - result.done
            checks += [
                Check(
                    f"{name}, writes not acknowledged",
                    refused,
                    "0",
                    not refused,
                ),
                Check(
                    f"{name} violations",
                    result.violations,
                    "0",
                    not result.violations,
                ),
            ]
    return figures, checks


def main() -> None:
    """Run and write the result."""
    seed = seed_argument(__doc__)
    figures, checks = run(seed)
    write_result("write_histories", seed, figures, checks)


if __name__ == "__main__":
    main()
