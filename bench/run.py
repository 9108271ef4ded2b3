"""Runs every benchmark and writes docs/measurements.md with plots."""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Any

import attrs

from measurements import page, plots

BENCH = pathlib.Path(__file__).parent
ROOT = BENCH.parent
RESULTS = BENCH / "results"
TIMEOUT_SECONDS = 240

# Benchmarks that fit together in one run, the slow ones first. Those of the
# last stage measure processor time and have the machine to themselves.
STAGES = (
    ("failover_gap", "write_histories", "detectors", "replica_reads"),
    ("overload", "config_spread", "drain", "soak"),
    ("slopes",),
    ("proxy_overhead",),
)
SOURCES = ("policy", "wire", "proxy", "cli", "standins")


@attrs.frozen
class Run:
    """One benchmark's process.

    Attributes:
      name: The benchmark's name.
      process: Its process.
      root: The checkout that it runs in.
      started_at: When it was started, in seconds since the epoch.
    """

    name: str
    process: subprocess.Popen[bytes]
    root: pathlib.Path
    started_at: float


def start(name: str, seed: int, root: pathlib.Path) -> Run | None:
    """Start a benchmark of a checkout; None if that has no such one."""
    script = root / "bench" / f"{name}.py"
    if not script.exists():
        return None
    paths = [root / f"packages/jackdawcrank-{s}/src" for s in SOURCES]
    environment = os.environ | {"PYTHONPATH": ":".join(map(str, paths))}
    command = [sys.executable, str(script), "--seed", str(seed)]
    started_at = time.time()
    process = subprocess.Popen(
        command, stdout=subprocess.DEVNULL, cwd=root, env=environment
    )
    return Run(name, process, root, started_at)


def summary(run: Run, status: int) -> str:
    """Return how many targets a benchmark met, or that it failed."""
    path = run.root / "bench" / "results" / f"{run.name}.json"
    if not path.exists() or path.stat().st_mtime < run.started_at:
        return f"no result, status {status}"
    verdict = json.loads(path.read_text())["verdict"]
    missed = [check["name"] for check in verdict if not check["met"]]
    if missed:
        return f"{len(missed)} of {len(verdict)} missed: " + "; ".join(missed)
    return f"{len(verdict)} of {len(verdict)} met"


def finish(run: Run) -> None:
    """Wait for a benchmark; end it if it takes too long."""
    try:
        status = run.process.wait(TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        run.process.kill()
        run.process.wait()
        print(f"{run.name}: no end after {TIMEOUT_SECONDS} s")
        return
    print(f"{run.name}: {summary(run, status)}")


def run_all(seed: int, root: pathlib.Path, only: list[str]) -> None:
    """Run the benchmarks of a checkout, stage by stage."""
    for stage in STAGES:
        names = [name for name in stage if not only or name in only]
        runs = [start(name, seed, root) for name in names]
        for run in runs:
            if run is not None:
                finish(run)


def load(root: pathlib.Path) -> dict[str, dict[str, Any]]:
    """Return the results that lie in a checkout, by benchmark."""
    paths = sorted((root / "bench" / "results").glob("*.json"))
    return {path.stem: json.loads(path.read_text()) for path in paths}


def compare(revision: str, seed: int, only: list[str]) -> None:
    """Run an earlier version beside the present one and print both."""
    with tempfile.TemporaryDirectory() as folder:
        earlier = pathlib.Path(folder) / "earlier"
        git = ["git", "-C", str(ROOT), "worktree"]
        subprocess.run(
            [*git, "add", "--detach", str(earlier), revision], check=True
        )
        try:
            run_all(seed, earlier, only)
            print(page.compare(load(earlier), load(ROOT), revision))
        finally:
            subprocess.run(
                [*git, "remove", "--force", str(earlier)], check=True
            )


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", action="append", default=[])
    parser.add_argument("--compare", metavar="REV")
    parser.add_argument("--page-only", action="store_true")
    arguments = parser.parse_args()
    if not arguments.page_only:
        run_all(arguments.seed, ROOT, arguments.only)
    results = load(ROOT)
    plots.write_all(results, ROOT / "docs" / "plots")
    (ROOT / "docs" / "measurements.md").write_text(page.render(results))
    if arguments.compare:
        compare(arguments.compare, arguments.seed, arguments.only)


if __name__ == "__main__":
    main()
