"""Writes the result of one benchmark run as JSON."""

import argparse
import json
import pathlib
import subprocess
import sys
from typing import Any

import attrs

RESULTS = pathlib.Path(__file__).parent / "results"


@attrs.frozen
class Check:
    """One figure beside the target that it has to meet.

    Attributes:
      name: What is compared.
      figure: The measured value, in the unit that the name states.
      target: The stated target, written out.
      met: Whether the figure meets the target.
    """

    name: str
    figure: float
    target: str
    met: bool


def seed_argument(description: str | None) -> int:
    """Return the seed that the command line names, or 1.

    Args:
      description: What the benchmark does, for `--help`.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seed", type=int, default=1)
    return int(parser.parse_args().seed)


def revision() -> str:
    """Return the short name of the checked-out commit, or `unknown`."""
    command = ["git", "rev-parse", "--short", "HEAD"]
    answer = subprocess.run(
        command, capture_output=True, text=True, check=False
    )
    return answer.stdout.strip() or "unknown"


def command_line(arguments: list[str]) -> str:
    """Return a run's command as it is typed in the root of a checkout.

    Args:
      arguments: The script and its arguments; the script may have any path.
    """
    script = f"bench/{pathlib.Path(arguments[0]).name}"
    return " ".join(["python", script, *arguments[1:]])


def write_result(
    name: str, seed: int, figures: dict[str, Any], checks: list[Check]
) -> bool:
    """Write and print a result; return whether every check is met.

    Args:
      name: The benchmark's name, which is the file's name.
      seed: The seed of the run.
      figures: What was measured, as JSON values.
      checks: The figures that have a target.
    """
    result = {
        "name": name,
        "command": command_line(sys.argv),
        "seed": seed,
        "revision": revision(),
        "figures": figures,
        "verdict": [attrs.asdict(check) for check in checks],
    }
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{name}.json"
    path.write_text(json.dumps(result, indent=2) + "\n")
    print(json.dumps(result, indent=2))
    return all(check.met for check in checks)
