"""Writes results as Markdown."""

from typing import Any

Results = dict[str, dict[str, Any]]

INTRODUCTION = """# Measurements

Written by `make bench` from one run of every command in `bench/`; the full
figures are in the JSON files that the run leaves in `bench/results/`. Each
target is the one that the project was given; a miss is shown as such.
Timings are of one machine with twelve cores and mean something as ratios and
against their targets only.

"""
PLOTS = """## Plots

![Reads served by replicas over lag](plots/replica_reads.svg)

![Failover gap by cause](plots/failover_gap.svg)

![Goodput over offered load](plots/overload.svg)

"""
BASELINES = {
    "replica_reads": (
        "Baselines: every read with a token to the primary, and a random "
        "replica with a wait."
    ),
    "failover_gap": (
        "Baseline: a fixed lease time-out that is always waited out."
    ),
    "overload": "Baseline: queues without a bound.",
    "detectors": "Compared at equal rates of false promotions.",
}


def render(results: Results) -> str:
    """Return the whole page.

    Args:
      results: The results by benchmark.
    """
    parts = [INTRODUCTION, PLOTS]
    parts.extend(_section(name, result) for name, result in results.items())
    return "".join(parts)


def compare(earlier: Results, present: Results, revision: str) -> str:
    """Return a table of two versions' figures.

    Args:
      earlier: The results of the earlier version.
      present: Those of the present version.
      revision: The earlier version's name.
    """
    lines = [f"| figure | {revision} | present | ratio |", "|---|---|---|---|"]
    for name in sorted(earlier.keys() & present.keys()):
        before = {c["name"]: c["figure"] for c in earlier[name]["verdict"]}
        for check in present[name]["verdict"]:
            old = before.get(check["name"])
            lines.append(_comparison(name, check, old))
    return "\n".join(lines) + "\n"


def _comparison(name: str, check: dict[str, Any], old: float | None) -> str:
    new = check["figure"]
    ratio = f"{new / old:.2f}" if old else "-"
    before = "-" if old is None else f"{old:.4g}"
    return f"| {name}: {check['name']} | {before} | {new:.4g} | {ratio} |"


def _section(name: str, result: dict[str, Any]) -> str:
    lines = [
        f"## {name}",
        "",
        f"`{result['command']}`, seed {result['seed']}, "
        f"revision {result['revision']}.",
        "",
    ]
    if name in BASELINES:
        lines += [BASELINES[name], ""]
    if result["verdict"]:
        lines += ["| what | figure | target | met |", "|---|---|---|---|"]
        lines += [_row(check) for check in result["verdict"]]
        lines.append("")
    return "\n".join(lines) + "\n"


def _row(check: dict[str, Any]) -> str:
    met = "yes" if check["met"] else "**no**"
    figure = f"{check['figure']:.4g}"
    return f"| {check['name']} | {figure} | {check['target']} | {met} |"
