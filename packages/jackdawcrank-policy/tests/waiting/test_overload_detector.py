import heapq

import attrs

from jackdawcrank_policy.waiting import (
    OverloadDetector,
    PriorityWaitQueue,
    WaitEstimator,
    WaitLimits,
)

SLOTS = 3
WORK_SECONDS = 0.1
STATEMENT_SECONDS = 1.0
TARGET_SECONDS = 0.6


def test_first_waiter_gets_full_deadline() -> None:
    detector = OverloadDetector()
    assert detector.wait_deadline(10.0, 0, WaitLimits(1, 11.0, 10.25)) == 11.0
    assert detector.wait_deadline(10.1, 1, WaitLimits(1, 11.1, 10.35)) == 11.1


def test_overloaded_queue_shortens_wait() -> None:
    detector = OverloadDetector()
    detector.wait_deadline(10.0, 1, WaitLimits(1, 11.0, 10.25))
    assert not detector.is_overloaded(10.4)
    assert detector.wait_deadline(10.6, 4, WaitLimits(1, 11.6, 10.85)) == 10.85


def test_empty_queue_ends_overload() -> None:
    detector = OverloadDetector()
    detector.wait_deadline(10.0, 1, WaitLimits(1, 11.0, 10.25))
    detector.wait_deadline(10.4, 0, WaitLimits(1, 11.4, 10.65))
    assert detector.nonempty_seconds(10.9) == 0.0
    assert detector.wait_deadline(10.9, 1, WaitLimits(1, 11.9, 11.15)) == 11.9


@attrs.frozen
class SimulationResult:
    """Results for the callers, as shares of all statements.

    Attributes:
      in_target: Share answered within the target time of an operation.
      served: Share answered at all.
      mean_refusal_seconds: Mean time until a refusal, in seconds.
    """

    in_target: float
    served: float
    mean_refusal_seconds: float


def arrivals_at(*phases: tuple[float, float]) -> list[float]:
    """Return arrival times for phases of a duration and a rate each."""
    arrivals: list[float] = []
    begin = 0.0
    for seconds, rate in phases:
        arrivals += [begin + n / rate for n in range(int(seconds * rate))]
        begin += seconds
    return arrivals


def simulate(arrivals: list[float], limit_waits: bool) -> SimulationResult:
    """Simulate statements that wait for a server with three slots."""
    queue: PriorityWaitQueue[int] = PriorityWaitQueue()
    detector, estimator = (
        OverloadDetector(),
        WaitEstimator(WORK_SECONDS),
    )
    ends: list[float] = []
    answered: dict[int, float] = {}
    refused: dict[int, float] = {}

    def free_until(now: float) -> None:
        while ends and ends[0] <= now:
            end = heapq.heappop(ends)
            entry = queue.pop(end)
            if entry is not None:
                heapq.heappush(ends, end + WORK_SECONDS)
                answered[entry.item] = end + WORK_SECONDS

    for number, now in enumerate(arrivals):
        free_until(now)
        latest = now + STATEMENT_SECONDS - WORK_SECONDS
        early = now + STATEMENT_SECONDS / 4
        limits = WaitLimits(1, latest, early if limit_waits else latest)
        deadline = detector.wait_deadline(now, queue.length, limits)
        wait = estimator.wait_seconds(queue.ahead_of(1), SLOTS)
        if len(ends) < SLOTS:
            heapq.heappush(ends, now + WORK_SECONDS)
            answered[number] = now + WORK_SECONDS
        elif now + wait >= deadline:
            refused[number] = 0.0
        else:
            queue.enqueue(1, deadline, number)
            refused[number] = deadline - now
    free_until(arrivals[-1] + 10.0)
    latencies = [answered[n] - arrivals[n] for n in answered]
    waits = [s for n, s in refused.items() if n not in answered]
    return SimulationResult(
        sum(one <= TARGET_SECONDS for one in latencies) / len(arrivals),
        len(latencies) / len(arrivals),
        sum(waits) / len(waits) if waits else 0.0,
    )


def test_sustained_overload_is_served_in_time_or_refused_early() -> None:
    # Capacity is 30 statements a second; 50 a second arrive for ten seconds.
    arrivals = arrivals_at((1.0, 20.0), (10.0, 50.0), (1.0, 20.0))
    before, after = (
        simulate(arrivals, limit_waits=False),
        simulate(arrivals, limit_waits=True),
    )
    assert after.in_target >= 0.6
    assert after.in_target >= before.in_target + 0.3
    # Every statement that is served is served in time.
    assert after.served == after.in_target
    assert after.mean_refusal_seconds <= TARGET_SECONDS / 4


def test_burst_is_served_completely() -> None:
    arrivals = arrivals_at((1.0, 10.0), (0.2, 100.0), (2.0, 10.0))
    assert simulate(arrivals, limit_waits=True).served == 1.0


def test_idle_queue_is_not_busy() -> None:
    detector = OverloadDetector()
    detector.wait_deadline(10.0, 1, WaitLimits(1, 11.0, 10.25))
    assert detector.nonempty_seconds(20.0) == 0.0


def test_overload_lasts_while_statements_may_still_wait() -> None:
    detector = OverloadDetector()
    detector.wait_deadline(10.0, 1, WaitLimits(1, 11.0, 10.25))
    detector.wait_deadline(10.6, 4, WaitLimits(1, 11.6, 10.85))
    assert detector.nonempty_seconds(10.95) > 0.5
    assert detector.nonempty_seconds(11.5) == 0.0
    assert detector.wait_deadline(11.5, 1, WaitLimits(1, 12.5, 11.75)) == 12.5
