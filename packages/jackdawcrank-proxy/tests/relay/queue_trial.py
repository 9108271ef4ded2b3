"""Simulates the decisions of a server's queue, each alone.

Run in packages/jackdawcrank-proxy:
`python -m tests.relay.queue_trial SEEDS [LOAD ...]`.
"""

import concurrent.futures
import statistics
import sys

from jackdawcrank.relay.connection_pool import ConnectionPool

from .server_load import Load, play

PROCESSES = 4
FEW = dict.fromkeys(["a0", "a1", "a2", "a3", "a4", "a5"], 1.0)
MANY = {f"a{rank}": 1 / (1 + rank**0.8) for rank in range(87)}


def home(**fields) -> Load:
    # One of six homes of a server with 4 slots.
    return Load(rate=35.0, slots=1, holds=3, **fields)


LOADS = {
    "home-usual": home(),
    "home-floor": home(kinds=(1, 2.6, 1)),
    "home-avail": home(kinds=(1, 1, 2.6)),
    "home-confirm": home(kinds=(2.6, 1, 1)),
    "home-hot": home(hot={"a1": 6.0}),
    "home-pausing": home(hot={"a1": 4.0}, holding=frozenset({"a1"}), pause=0.3),
    "home-full": home(kinds=(1, 1.7, 1), accepts=8),
    "usual": Load(),
    "floor": Load(kinds=(1, 2.6, 1)),
    "avail": Load(kinds=(1, 1, 2.6)),
    "confirm": Load(kinds=(2.6, 1, 1), rate=150.0),
    "hot": Load(hot={"a1": 7.0}),
    "hot-small": Load(hot={"a8": 20.0}),
    "hot-pausing": Load(hot={"a1": 4.0}, holding=frozenset({"a1"}), pause=0.2),
    "second": Load(
        slots=6,
        holds=15,
        connections=7,
        accounts=FEW,
        hot={"a1": 4.0},
        holding=frozenset({"a1"}),
        pause=0.2,
    ),
    "one-account": Load(accounts={"a": 1.0}, kinds=(1, 2.6, 1)),
    "87-accounts": Load(accounts=MANY, kinds=(1, 2.0, 1)),
    "accepts-10": Load(kinds=(1, 1.7, 1), accepts=10),
    "accepts-6": Load(rate=80.0, hot={"a1": 4.0}, accepts=6),
    "no-accounts": Load(accounts={"": 1.0}, kinds=(1, 2.6, 1)),
}


class SeparateJudgement:
    """Each of the two queues judges overload for itself."""

    def judges_once(self, account):
        return False


class KeepsIdle:
    """A refused opening closes no idle connection."""

    def close_idle_for_full(self, now):
        return


def pool_class(decision: str) -> type[ConnectionPool]:
    former = [
        one
        for name, one in (("a", SeparateJudgement), ("d", KeepsIdle))
        if name != decision
    ]
    return type("TrialPool", (*former, ConnectionPool), {})


def trial(load: str, decision: str, seed: int) -> tuple[float, int, int, int]:
    one = play(pool_class(decision), LOADS[load], seed, decision)
    counts = [one.counts[got] for got in ("in time", "late", "lost")]
    return one.worth, *counts


def main() -> None:
    seeds = range(int(sys.argv[1]))
    for load in sys.argv[2:] or LOADS:
        with concurrent.futures.ProcessPoolExecutor(PROCESSES) as executor:
            played = {
                decision: [
                    executor.submit(trial, load, decision, seed)
                    for seed in seeds
                ]
                for decision in "-abcd"
            }
        results = {
            decision: [one.result() for one in runs]
            for decision, runs in played.items()
        }
        mean = statistics.mean(one[0] for one in results["-"])
        for decision, runs in results.items():
            gains = [
                100 * (one[0] - former[0]) / mean
                for one, former in zip(runs, results["-"], strict=True)
            ]
            error = statistics.stdev(gains) / len(gains) ** 0.5
            sums = [
                f"{statistics.mean(one[index] for one in runs):7.1f}"
                for index in range(4)
            ]
            print(
                f"{load:13}{decision} {' '.join(sums)}"
                f" {statistics.mean(gains):+7.2f}% +-{error:.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
