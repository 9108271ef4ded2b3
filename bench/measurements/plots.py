"""Draws the plots of the page of measurements."""

import pathlib
from collections.abc import Callable
from typing import Any

import matplotlib as mpl

mpl.use("svg")

from matplotlib import pyplot as plt

Results = dict[str, dict[str, Any]]
Figures = dict[str, Any]

LAG_PATTERNS = ("steady", "bursty", "one_stuck")
DEPLOYMENTS = ("moorfeld", "pamoja")
GAP_PARTS = ("detection", "fencing", "choice", "spread")
LOADS = ("1x", "2x", "5x", "10x")
SIZE_INCHES = (8.0, 4.5)


def write_all(results: Results, folder: pathlib.Path) -> None:
    """Write every plot whose result is there.

    Args:
      results: The results by benchmark.
      folder: Where to write SVG files.
    """
    # A fixed salt and no date keep the files the same for the same figures.
    mpl.rcParams["svg.hashsalt"] = "jackdawcrank"
    folder.mkdir(parents=True, exist_ok=True)
    drawers: dict[str, Callable[[Figures], None]] = {
        "replica_reads": draw_replica_reads,
        "failover_gap": draw_failover_gap,
        "overload": draw_overload,
    }
    for name, draw in drawers.items():
        if name not in results:
            continue
        plt.figure(figsize=SIZE_INCHES)
        draw(results[name]["figures"])
        plt.tight_layout()
        plt.savefig(folder / f"{name}.svg", metadata={"Date": None})
        plt.close()


def draw_replica_reads(figures: Figures) -> None:
    """Draw the share of reads served by replicas over lag."""
    policies = ("evidence", "token_to_primary", "random_with_wait")
    for kind, style in (("token", "-"), ("stated_age", "--")):
        for policy in policies:
            shares = _shares(figures[policy], kind)
            lags, values = zip(*shares.items(), strict=True)
            plt.plot(lags, values, style, marker="o", label=f"{policy}, {kind}")
    plt.xlabel("replication lag in seconds, mean over its patterns")
    plt.ylabel("share of all reads served by replicas")
    plt.ylim(0, 1.05)
    plt.legend(fontsize="small")


def _shares(policy: Figures, kind: str) -> dict[float, float]:
    """Return the mean share over the patterns that were run at each lag."""
    by_lag: dict[float, list[float]] = {}
    for name, figures in policy.items():
        pattern, _, lag = name.partition(" ")
        if pattern in LAG_PATTERNS:
            shares = by_lag.setdefault(float(lag.removesuffix("s")), [])
            shares.append(figures[kind]["share_by_replicas"])
    return {lag: sum(s) / len(s) for lag, s in sorted(by_lag.items())}


def draw_failover_gap(figures: Figures) -> None:
    """Draw the median failover gap by cause, in its parts."""
    causes = [name for name in figures if name.endswith(" measured")]
    labels = [name.removesuffix(" measured") for name in causes]
    left = [0.0] * len(causes)
    for part in GAP_PARTS:
        values = [_median(figures[cause], part) for cause in causes]
        plt.barh(labels, values, left=left, label=part)
        left = [a + b for a, b in zip(left, values, strict=True)]
    maxima = [figures[c]["gap_seconds"]["max"] for c in causes]
    plt.plot(maxima, labels, "k|", markersize=12, label="longest gap")
    plt.axvline(2.0, color="grey", linestyle=":", label="target of the median")
    plt.xlabel("seconds without writes, medians of the parts")
    plt.legend(fontsize="small")


def _median(cause: Figures, part: str) -> float:
    """Return a part's median; runs without a new term have no parts."""
    return float(cause.get(f"{part}_seconds", {}).get("median", 0.0))


def draw_overload(figures: Figures) -> None:
    """Draw goodput over offered load."""
    for policy, style in (("admission", "-"), ("unbounded queues", "--")):
        for deployment in DEPLOYMENTS:
            shares = [
                figures[policy][f"{deployment} {load}"]["goodput"]
                for load in LOADS
            ]
            plt.plot(
                LOADS,
                shares,
                style,
                marker="o",
                label=f"{policy}, {deployment}",
            )
    plt.axhline(0.9, color="grey", linestyle=":", label="target at 10x")
    plt.xlabel("offered load by capacity")
    plt.ylabel("goodput by capacity")
    plt.ylim(0, 1.05)
    plt.legend(fontsize="small")
