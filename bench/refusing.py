"""Compares refusing statements early with letting them wait.

Callers send operations of three priorities to one server of four slots through
one proxy, in virtual time. They come back up to twice after a refusal and give
up 3 s after their first attempt. Counted is what they get while the primary of
a group is replaced, and in a burst with both replicas lagging, for today's
decision and for others. docs/design/refusing.md has the figures.
"""

import argparse
import enum
import functools
import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from jackdawcrank_policy.waiting import (
    OVERLOAD_WAIT_SHARE,
    OverloadDetector,
    PriorityWaitQueue,
    WaitEstimator,
    WaitLimits,
)

SLOTS = 4
# Seconds of work, latency objective and statement timeout by priority.
PRIORITIES = ((0.006, 0.251, 0.8), (0.018, 0.501, 0.8), (0.030, 1.201, 2.0))
GIVE_UP_SECONDS = 3.0
RETRIES = 2
RETRY_SECONDS = (0.1, 0.4)
LATE_WORTH = 0.15
# From the failure of a primary until the proxy suspects it (`refusing`).
SUSPICION_SECONDS = 0.3
POLL_SECONDS = 0.1
FIRST_CHANGE_SECONDS = 2.0
CHANGE_WEIGHT = 0.3
# As in `StatementRunner.wait_limits`.
MIN_ATTEMPT_SECONDS = 0.3
MAX_ATTEMPT_SHARE = 0.5
# From the end of an outage until a statement that waited is answered.
MARGIN_SECONDS = 0.1
SHRINKING_SECONDS = 0.25
SEEDS = 5


class Outage(enum.Enum):
    """What happens to a statement while there is no primary."""

    WAIT = "wait until the deadline (today)"
    REFUSE = "refuse if the expected end is after the deadline"
    OBEYED = "the same, and callers wait for retry_after_ms"
    RETRY = "the first, but not before a retry would reach the end"
    HOPELESS = "refuse if the expected end is 3 s away"


class Limits(enum.Enum):
    """How long a statement may wait in a queue."""

    SHARE = "a quarter of its time in an overloaded queue (today)"
    OBJECTIVE = "until its objective in an overloaded queue"
    HALF = "half of its objective, at least today's, in an overloaded queue"
    MOST = "3/4 of its objective, at least today's, in an overloaded queue"
    SHRINKING = "until its objective unless the queue shrinks"
    BOTH = "today, and until its objective unless the queue shrinks"


@attrs.define(eq=False)
class Operation:
    """One operation of a caller.

    Attributes:
      priority: Its priority.
      work: Seconds of a slot that it needs.
      began_at: When its first attempt was sent.
      attempts: Attempts so far.
      in_vain: Seconds of attempts that brought no answer.
      ended_at: When it was answered or its caller gave up.
      served: Whether it was answered.
    """

    priority: int
    work: float
    began_at: float
    attempts: int = 0
    in_vain: float = 0.0
    ended_at: float = 0.0
    served: bool = False


@attrs.define(eq=False)
class Attempt:
    """One statement.

    Attributes:
      operation: What it is sent for.
      sent_at: When it arrived at the proxy.
      deadline: When it must be answered.
    """

    operation: Operation
    sent_at: float
    deadline: float


@attrs.define
class Counts:
    """What callers got.

    Attributes:
      offered: Number of operations.
      in_time: Share that was answered within the objective.
      late: Share that was answered later.
      worth: Sum of both, the late ones weighted.
      lost_after: Mean seconds until an operation without an answer was given
        up.
      in_vain: Mean seconds, over all operations, of attempts without an answer.
    """

    offered: int
    in_time: float
    late: float
    worth: float
    lost_after: float
    in_vain: float


class Model:
    """One run."""

    def __init__(
        self,
        seed: int,
        rate: Callable[[float], float],
        seconds: float,
        outages: list[tuple[float, float]],
        outage: Outage = Outage.WAIT,
        limits: Limits = Limits.SHARE,
    ) -> None:
        self.rng = random.Random(seed)
        self.rate = rate
        self.seconds = seconds
        self.outage = outage
        self.limits = limits
        self.now = 0.0
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.operations: list[Operation] = []
        self.held: list[Attempt] = []
        self.failed_at: float | None = None
        self.change_seconds = FIRST_CHANGE_SECONDS
        self.running = 0
        self.queue: PriorityWaitQueue[Attempt] = PriorityWaitQueue()
        self.estimator = WaitEstimator()
        self.detector = OverloadDetector()
        self.lengths: list[tuple[float, int]] = []
        for start, end in outages:
            self.at(start, self.fail)
            self.at(end, self.recover)

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self.events, (when, next(self.numbers), action))

    def run(self) -> list[Operation]:
        """Run to the end and return all operations."""
        self.at(0.0, self.arrive)
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.operations

    def arrive(self) -> None:
        """Let an operation begin, and plan the next."""
        if self.now > self.seconds:
            return
        self.at(
            self.now + self.rng.expovariate(self.rate(self.now)), self.arrive
        )
        priority = self.rng.randrange(len(PRIORITIES))
        work = self.rng.expovariate(1.0 / PRIORITIES[priority][0])
        operation = Operation(priority, work, self.now)
        self.operations.append(operation)
        self.send(operation)

    def send(self, operation: Operation) -> None:
        """Send the next attempt."""
        operation.attempts += 1
        timeout = PRIORITIES[operation.priority][2]
        attempt = Attempt(operation, self.now, self.now + timeout)
        if self.failed_at is None:
            self.enqueue(attempt)
        else:
            self.held.append(attempt)
            self.check(attempt)

    def check(self, attempt: Attempt) -> None:
        """Decide on a statement that waits for a primary."""
        if attempt not in self.held:
            return
        if self.now >= attempt.deadline or self.refuses(attempt):
            self.held.remove(attempt)
            self.refuse(attempt)
            return
        later = min(attempt.deadline, self.now + POLL_SECONDS)
        self.at(later, functools.partial(self.check, attempt))

    def expected_end(self) -> float | None:
        """Return when a primary is expected, or None if nothing is known."""
        if self.failed_at is None:
            return None
        begun_at = self.failed_at + SUSPICION_SECONDS
        end = begun_at + self.change_seconds
        return end if begun_at <= self.now < end else None

    def refuses(self, attempt: Attempt) -> bool:
        """Return whether a statement is refused before its deadline."""
        end = self.expected_end()
        if end is None or self.outage is Outage.WAIT:
            return False
        if self.outage is Outage.HOPELESS:
            return end > self.now + GIVE_UP_SECONDS
        if self.outage is Outage.RETRY:
            timeout = attempt.deadline - attempt.sent_at
            retry_until = self.now + RETRY_SECONDS[0] + timeout
            return attempt.deadline < end <= retry_until - MARGIN_SECONDS
        return end > attempt.deadline

    def fail(self) -> None:
        """Let the primary fail."""
        self.failed_at = self.now

    def recover(self) -> None:
        """Let a new primary serve what waits."""
        assert self.failed_at is not None
        observed = self.now - self.failed_at - SUSPICION_SECONDS
        self.change_seconds += CHANGE_WEIGHT * (observed - self.change_seconds)
        self.failed_at = None
        held, self.held = self.held, []
        for attempt in held:
            self.enqueue(attempt)

    def wait_limits(self, attempt: Attempt) -> WaitLimits:
        """Return how long a statement may wait in the queue."""
        priority = attempt.operation.priority
        _, objective, timeout = PRIORITIES[priority]
        expected = self.estimator.hold_seconds
        needed = max(MIN_ATTEMPT_SECONDS, 3.0 * expected)
        latest = attempt.deadline - min(timeout * MAX_ATTEMPT_SHARE, needed)
        early = attempt.sent_at + timeout * OVERLOAD_WAIT_SHARE
        aim = min(latest, attempt.sent_at + objective - expected)
        if self.limits is Limits.OBJECTIVE:
            early = aim
        elif self.limits in (Limits.HALF, Limits.MOST):
            share = 0.5 if self.limits is Limits.HALF else 0.75
            early = max(early, attempt.sent_at + share * objective)
        elif self.limits is not Limits.SHARE:
            if not self.shrinks():
                latest = aim
            if self.limits is Limits.SHRINKING:
                early = latest
        return WaitLimits(priority, latest, min(latest, early))

    def shrinks(self) -> bool:
        """Return whether the queue is shorter than a moment ago."""
        self.lengths.append((self.now, self.queue.length))
        while self.lengths[0][0] < self.now - SHRINKING_SECONDS:
            self.lengths.pop(0)
        return self.queue.length < self.lengths[0][1]

    def enqueue(self, attempt: Attempt) -> None:
        """Run a statement, let it wait or refuse it."""
        limits = self.wait_limits(attempt)
        length = self.queue.length
        deadline = self.detector.wait_deadline(self.now, length, limits)
        if self.running < SLOTS and not length:
            self.start(attempt)
            return
        ahead = self.queue.ahead_of(limits.priority)
        wait = self.estimator.wait_seconds(ahead, SLOTS)
        if self.now + wait >= deadline:
            self.refuse(attempt)
            return
        entry = self.queue.enqueue(limits.priority, deadline, attempt)

        def expire() -> None:
            if not entry.removed:
                self.queue.cancel(entry)
                self.refuse(attempt)

        self.at(deadline, expire)

    def start(self, attempt: Attempt) -> None:
        """Run a statement on a slot."""
        self.running += 1
        end = self.now + attempt.operation.work
        self.at(end, self.leave)
        if end > attempt.deadline:
            late = functools.partial(self.refuse, attempt)
            self.at(attempt.deadline, late)
        else:
            self.at(end, functools.partial(self.answer, attempt))
        self.estimator.record_hold(attempt.operation.work)

    def leave(self) -> None:
        """Give a slot to the next statement."""
        self.running -= 1
        entry = self.queue.pop(self.now)
        if entry is not None:
            self.start(entry.item)

    def answer(self, attempt: Attempt) -> None:
        """Give a caller its answer unless it has given up."""
        operation = attempt.operation
        give_up = operation.began_at + GIVE_UP_SECONDS
        operation.served = self.now <= give_up
        operation.ended_at = min(self.now, give_up)
        if not operation.served:
            operation.in_vain += max(0.0, give_up - attempt.sent_at)

    def refuse(self, attempt: Attempt) -> None:
        """Let a caller come back or give up."""
        operation = attempt.operation
        give_up = operation.began_at + GIVE_UP_SECONDS
        operation.ended_at = min(self.now, give_up)
        operation.in_vain += operation.ended_at - attempt.sent_at
        pause = self.rng.uniform(*RETRY_SECONDS)
        end = self.expected_end()
        if self.outage is Outage.OBEYED and end is not None:
            pause += end - self.now
        retry_at = self.now + pause
        if operation.attempts <= RETRIES and retry_at < give_up:
            self.at(retry_at, functools.partial(self.send, operation))


def count(operations: list[Operation]) -> Counts:
    """Return what the callers of some operations got."""
    served = [one for one in operations if one.served]
    lost = [one for one in operations if not one.served]
    good = sum(
        one.ended_at - one.began_at <= PRIORITIES[one.priority][1]
        for one in served
    )
    total = max(1, len(operations))
    late = len(served) - good
    waits = sum(one.ended_at - one.began_at for one in lost)
    return Counts(
        len(operations),
        good / total,
        late / total,
        (good + LATE_WORTH * late) / total,
        waits / max(1, len(lost)),
        sum(one.in_vain for one in operations) / total,
    )


def outage_run(
    outage: Outage, lengths: tuple[float, float], rate: float
) -> Counts:
    """Count operations that begin in or up to 1 s after an outage.

    Args:
      outage: The decision.
      lengths: Shortest and longest outage in seconds; there are ten.
      rate: Operations per second that need the primary.
    """
    counted: list[Operation] = []
    for seed in range(SEEDS):
        rng = random.Random(seed)
        outages = [
            (start, start + rng.uniform(*lengths))
            for start in (10.0 * number + 2.0 for number in range(10))
        ]
        model = Model(seed, lambda _: rate, 102.0, outages, outage)
        counted += [
            one
            for one in model.run()
            if any(a <= one.began_at <= b + 1.0 for a, b in outages)
        ]
    return count(counted)


def burst_run(limits: Limits, usual: float, factor: float) -> Counts:
    """Count operations that begin in a burst or up to 1 s after it.

    Args:
      limits: The decision.
      usual: Usual operations per second of the group.
      factor: The multiple of them that a burst of 6 s brings.
    """

    def rate(now: float) -> float:
        return usual * (factor if 3.0 <= now < 9.0 else 1.0)

    counted: list[Operation] = []
    for seed in range(4 * SEEDS):
        model = Model(seed, rate, 13.0, [], limits=limits)
        counted += [one for one in model.run() if 3.0 <= one.began_at <= 10.0]
    return count(counted)


def row(name: str, found: Counts) -> str:
    """Return one line of a table."""
    return (
        f"| {name} | {found.offered} | {found.in_time:.3f} | {found.late:.3f} "
        f"| {found.worth:.3f} | {found.lost_after:.2f} | {found.in_vain:.3f} |"
    )


def main() -> None:
    """Print both tables."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    for rate in (70.0, 140.0):
        for lengths in ((1.0, 4.0), (1.0, 1.0), (2.0, 2.0), (4.0, 4.0)):
            print(f"\noutages of {lengths} s, {rate:.0f}/s on the primary")
            for outage in Outage:
                print(row(outage.value, outage_run(outage, lengths, rate)))
    for usual in (87.5, 100.0, 117.0, 145.0, 175.0):
        print(f"\nburst of 2.6 times {usual}/s")
        for limits in Limits:
            print(row(limits.value, burst_run(limits, usual, 2.6)))


if __name__ == "__main__":
    main()
