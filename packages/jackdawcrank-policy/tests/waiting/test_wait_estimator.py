import heapq
import math

from jackdawcrank_policy.waiting import PriorityWaitQueue, WaitEstimator


def test_wait_grows_with_queue_and_shrinks_with_connections() -> None:
    estimator = WaitEstimator(0.1)
    assert math.isclose(estimator.wait_seconds(0, 1), 0.1)
    assert math.isclose(estimator.wait_seconds(5, 3), 0.2)


def test_hold_times_are_smoothed() -> None:
    estimator = WaitEstimator(0.1)
    estimator.record_hold(1.1)
    assert 0.15 < estimator.hold_seconds < 0.25


def simulate(rate: float, refuse: bool) -> tuple[float, float, float]:
    """Simulate statements of 100 ms over three connections.

    Returns:
      The share of statements answered within their limit of one second, the
      same share among the urgent tenth, and the mean time until a refusal in
      seconds.
    """
    estimator = WaitEstimator(0.1)
    queue: PriorityWaitQueue[int] = PriorityWaitQueue()
    ends: list[float] = []
    served = urgent_served = urgent = count = 0
    refusals: list[float] = []
    arrivals = [number / rate for number in range(int(rate * 10))]
    started: dict[int, float] = {}

    def begin(number: int, now: float) -> None:
        heapq.heappush(ends, now + 0.1)
        started[number] = now

    def free_until(now: float) -> None:
        while ends and ends[0] <= now:
            end = heapq.heappop(ends)
            estimator.record_hold(0.1)
            entry = queue.pop(end)
            if entry is not None:
                begin(entry.item, end)

    for number, now in enumerate(arrivals):
        free_until(now)
        count += 1
        priority = 0 if number % 10 == 0 else 1
        urgent += priority == 0
        if len(ends) < 3:
            begin(number, now)
        elif (
            refuse
            and now + estimator.wait_seconds(queue.ahead_of(priority), 3)
            >= now + 0.9
        ):
            refusals.append(0.0)
        else:
            queue.enqueue(priority, now + 0.9, number)
    free_until(20.0)
    for number, now in enumerate(arrivals):
        in_time = number in started and started[number] + 0.1 <= now + 1.0
        served += in_time
        urgent_served += in_time and number % 10 == 0
    refusals += [0.9] * (count - len(started) - len(refusals))
    mean = sum(refusals) / len(refusals) if refusals else 0.0
    return served / count, urgent_served / urgent, mean


def test_load_below_capacity_is_served_completely() -> None:
    assert simulate(rate=28.0, refuse=True) == (1.0, 1.0, 0.0)


def test_double_load_is_served_to_capacity_and_refused_at_once() -> None:
    # Three connections serve 30 statements a second; 60 a second arrive.
    served, urgent, refused_after = simulate(rate=60.0, refuse=True)
    assert served >= 0.48
    assert urgent == 1.0
    # A refusal counts as late after a quarter of the target time of one second.
    assert refused_after <= 0.25


def test_refusals_come_late_without_early_refusal() -> None:
    _, _, refused_after = simulate(rate=60.0, refuse=False)
    assert refused_after > 0.5
