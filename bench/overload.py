"""Measures goodput under 1 to 10 times the load that a group can carry.

Callers send reads at random instants to three home proxies, come back after
the time that a refusal names, and give up at their deadline. Beside admission
stands a baseline without it, whose queues have no bound. Virtual time; only
the cost of a decision is measured on the machine's clock.
"""

import functools
import heapq
import itertools
import random
import time
from collections.abc import Callable
from typing import Any

import attrs

from jackdawcrank_policy.admission import (
    AdmissionRequest,
    Admitted,
    GroupAdmission,
    Queued,
    Refused,
    concurrency_limit,
)
from jackdawcrank_policy.budget import quota_size
from jackdawcrank_policy.values import NotRun
from reads_model.deployment import MOORFELD, PAMOJA, Deployment
from report import Check, seed_argument, write_result

REGIONS = 3
SERVICE_SECONDS = 0.010
DEADLINE_SECONDS = 1.0
SECONDS = 6.0
WARM_UP_SECONDS = 2.0
RETUNE_SECONDS = 0.1
EXPIRE_SECONDS = 0.02
MAX_ATTEMPTS = 4
LOADS = (1, 2, 5, 10)
CONNECTIONS = {"moorfeld": 80, "pamoja": 90}
# Shares of the load: one caller sends half of it.
GREEDY_SHARE = 0.5
MODEST_CALLERS = 40
GOODPUT_TARGET = 0.90
UNBOUNDED = 10**9


@attrs.define
class Server:
    """A server whose statements wait in order for its slots.

    Attributes:
      region: The region that it stands in.
      free_at: When each slot is free.
      ran: The numbers of the requests that it ran.
    """

    region: int
    free_at: list[float]
    ran: set[int] = attrs.Factory(set)

    def run(self, number: int, now: float, service: float) -> float:
        """Run a statement; return when it ends."""
        self.ran.add(number)
        start = max(now, heapq.heappop(self.free_at))
        heapq.heappush(self.free_at, start + service)
        return start + service


@attrs.define
class Call:
    """One statement of a caller with its attempts.

    Attributes:
      caller: The caller's name.
      deadline: When the caller gives up.
      attempts: How often it was sent.
      sent_at: When the present attempt was admitted.
    """

    caller: str
    deadline: float
    attempts: int = 0
    sent_at: float = 0.0


@attrs.define
class Counts:
    """What became of the calls.

    Attributes:
      offered: Calls, not counting repeats.
      good: Answers within the deadline, by caller.
      late: Answers after it.
      refused: Attempts that were refused.
      refused_numbers: Their numbers.
      decision_seconds: Time on the machine's clock spent on decisions.
      decisions: How many decisions that were.
    """

    offered: int = 0
    good: dict[str, int] = attrs.Factory(dict)
    late: int = 0
    refused: int = 0
    refused_numbers: set[int] = attrs.Factory(set)
    decision_seconds: float = 0.0
    decisions: int = 0


class Overload:
    """One run at one load."""

    def __init__(
        self, deployment: Deployment, load: float, admission: bool, seed: int
    ) -> None:
        self.deployment = deployment
        self.load = load
        self.admission = admission
        self.rng = random.Random(f"{seed} {deployment.name} {load} {admission}")
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        slots = deployment.slots
        self.servers = [Server(r, [0.0] * slots) for r in range(REGIONS)]
        limit = slots if admission else UNBOUNDED
        self.gates = [GroupAdmission(limit) for _ in range(REGIONS)]
        self.busy = [[0] * REGIONS for _ in range(REGIONS)]
        self.calls: dict[int, Call] = {}
        self.counts = Counts()

    @property
    def capacity(self) -> float:
        """Return the statements per second that all slots can run."""
        return REGIONS * self.deployment.slots / SERVICE_SECONDS

    def run(self) -> Counts:
        """Run to the end."""
        self.after(0.0, self.arrive)
        self.after(EXPIRE_SECONDS, self.expire)
        if self.admission:
            self.after(RETUNE_SECONDS, self.retune)
        while self.events and self.events[0][0] < SECONDS:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.counts

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        event = (self.now + delay, next(self.numbers), action)
        heapq.heappush(self.events, event)

    def arrive(self) -> None:
        """Let a new call come in, and plan the next."""
        self.after(self.rng.expovariate(self.load * self.capacity), self.arrive)
        greedy = self.rng.random() < GREEDY_SHARE
        modest = f"modest{self.rng.randrange(MODEST_CALLERS)}"
        call = Call("greedy" if greedy else modest, self.now + DEADLINE_SECONDS)
        self.counts.offered += self.now > WARM_UP_SECONDS
        self.attempt(call)

    def attempt(self, call: Call) -> None:
        """Send a call to a home proxy."""
        home = self.rng.randrange(REGIONS)
        call.attempts += 1
        number = next(self.numbers)
        self.calls[number] = call
        request = AdmissionRequest(number, call.caller, call.deadline)
        gate = self.gates[home]
        began = time.perf_counter()
        answer = gate.offer(request, self.now)
        self.counts.decision_seconds += time.perf_counter() - began
        self.counts.decisions += 1
        if isinstance(answer, Admitted):
            self.send(home, number)
        elif isinstance(answer, Queued):
            self.follow(home, [*answer.displaced])
        else:
            self.refuse(number, answer)

    def follow(self, home: int, results: list[Admitted | Refused]) -> None:
        """Send what was admitted and answer what was refused."""
        for result in results:
            if isinstance(result, Admitted):
                self.send(home, result.request.number)
            else:
                self.refuse(result.request.number, result.outcome)

    def refuse(self, number: int, outcome: NotRun) -> None:
        """Tell a caller that a request did not run."""
        call = self.calls.pop(number)
        self.counts.refused += 1
        self.counts.refused_numbers.add(number)
        wait = (outcome.retry_after_ms or 0) / 1000 * self.rng.uniform(1, 1.5)
        in_time = self.now + wait < call.deadline
        if in_time and call.attempts < MAX_ATTEMPTS:
            self.after(wait, functools.partial(self.attempt, call))

    def send(self, home: int, number: int) -> None:
        """Send a request to the server with the fewest of this home's."""
        self.calls[number].sent_at = self.now
        busy = self.busy[home]
        order = sorted(range(REGIONS), key=lambda s: (busy[s], s != home))
        chosen = order[0]
        busy[chosen] += 1
        server = self.servers[chosen]
        way = self.deployment.one_way(home, chosen)

        def reach() -> None:
            service = self.rng.expovariate(1 / SERVICE_SECONDS)
            end = server.run(number, self.now, service)
            self.after(end - self.now + way, answer)

        def answer() -> None:
            busy[chosen] -= 1
            self.finish(home, number)

        self.after(way, reach)

    def finish(self, home: int, number: int) -> None:
        """Give an answer to its caller and the slot to the next request."""
        call = self.calls.pop(number)
        if self.now > WARM_UP_SECONDS:
            if self.now <= call.deadline:
                good = self.counts.good
                good[call.caller] = good.get(call.caller, 0) + 1
            else:
                self.counts.late += 1
        self.follow(home, self.gates[home].finish(number, self.now))

    def expire(self) -> None:
        """Give up on what waits in vain."""
        for home, gate in enumerate(self.gates):
            self.follow(home, [*gate.expire(self.now)])
        self.after(EXPIRE_SECONDS, self.expire)

    def retune(self) -> None:
        """Let each home's limit follow the slots."""
        limit = CONNECTIONS[self.deployment.name]
        for home, gate in enumerate(self.gates):
            ways = [self.deployment.one_way(home, s) for s in range(REGIONS)]
            round_trip = 2 * sum(ways) / REGIONS
            slots = self.deployment.slots
            connections = quota_size(limit, home)
            new = concurrency_limit(
                slots, gate.service, round_trip, connections
            )
            self.follow(home, gate.set_limit(new, self.now))
        self.after(RETUNE_SECONDS, self.retune)


def figures(run: Overload) -> dict[str, float]:
    """Return what a run showed."""
    counts = run.counts
    good = sum(counts.good.values())
    measured = (SECONDS - WARM_UP_SECONDS) * run.capacity
    modest = [n for name, n in counts.good.items() if name != "greedy"]
    ran = set().union(*(server.ran for server in run.servers))
    decision = counts.decision_seconds / max(1, counts.decisions)
    return {
        "goodput": round(good / measured, 3),
        "late": counts.late,
        "refusals": counts.refused,
        "refused_but_ran": len(counts.refused_numbers & ran),
        "greedy_share": round(counts.good.get("greedy", 0) / max(1, good), 3),
        "modest_min_to_max": round(
            min(modest, default=0) / max(modest, default=1), 3
        ),
        "limits": sum(gate.limit for gate in run.gates),
        "decision_us": round(decision * 1e6, 1),
    }


def run(seed: int) -> bool:
    """Run the benchmark and write its result.

    Args:
      seed: The seed of every run.

    Returns:
      Whether every target is met.
    """
    result: dict[str, Any] = {}
    checks = []
    for deployment in (MOORFELD, PAMOJA):
        for admission, load in itertools.product((True, False), LOADS):
            overload = Overload(deployment, load, admission, seed)
            overload.run()
            found = figures(overload)
            way = "admission" if admission else "unbounded queues"
            label = f"{deployment.name} {load}x"
            result.setdefault(way, {})[label] = found
            if admission:
                ran = found["refused_but_ran"]
                name = f"{label}: refusals that ran"
                checks.append(Check(name, ran, "0", ran == 0))
            if admission and load == max(LOADS):
                share = found["goodput"]
                met = share >= GOODPUT_TARGET
                name = f"{label}: goodput as a share of capacity"
                target = f">= {GOODPUT_TARGET:.0%}"
                checks.append(Check(name, share, target, met))
    return write_result("overload", seed, result, checks)


def main() -> None:
    """Run the benchmark from the command line."""
    run(seed_argument(__doc__))


if __name__ == "__main__":
    main()
