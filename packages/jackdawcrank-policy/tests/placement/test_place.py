from jackdawcrank_policy.placement import (
    Distance,
    ServerCandidate,
    ServerCondition,
    choose_server,
)
from jackdawcrank_policy.values.position import Position


def candidate(
    name: str,
    distance: Distance = Distance.DATA_CENTER,
    condition: ServerCondition | None = None,
) -> ServerCandidate:
    return ServerCandidate(name, distance, 5, condition or ServerCondition())


def answered(*seconds: float, now: float = 0.0) -> ServerCondition:
    condition = ServerCondition()
    for one in seconds:
        condition.answered(one, now)
    return condition


def test_nearest_server_is_chosen_without_measurements() -> None:
    near, far = candidate("near"), candidate("far", Distance.ELSEWHERE)
    assert choose_server([far, near], 0.0, None, None) == "near"


def test_slow_server_is_avoided_for_a_distant_one() -> None:
    slow = candidate("slow", condition=answered(*[0.4] * 40))
    far = candidate("far", Distance.ELSEWHERE, answered(0.07))
    assert choose_server([slow, far], 0.0, None, None) == "far"


def test_slow_server_is_tried_again_after_some_seconds() -> None:
    condition = answered(0.03)
    for _ in range(40):
        condition.answered(0.4, 1.0)
    slow = candidate("slow", condition=condition)
    far = candidate("far", Distance.ELSEWHERE, answered(0.07, now=1.0))
    assert choose_server([slow, far], 1.0, None, None) == "far"
    assert choose_server([slow, far], 12.0, None, None) == "slow"


def test_unreachable_server_is_excluded_temporarily() -> None:
    condition = ServerCondition()
    condition.failed(5.0)
    assert choose_server(
        [candidate("a", condition=condition)], 5.05, None, None
    ) is (None)
    assert (
        choose_server([candidate("a", condition=condition)], 6.1, None, None)
        == "a"
    )


def test_lagging_replica_is_excluded_until_position_is_seen() -> None:
    condition = ServerCondition()
    condition.lagged(5.0)
    needed = Position(1, 9)
    lagging = candidate("a", condition=condition)
    assert choose_server([lagging], 5.01, needed, None) is None
    condition.position_seen(Position(1, 9))
    assert choose_server([lagging], 5.01, needed, None) == "a"


def test_primary_is_eligible_without_known_position() -> None:
    condition = ServerCondition()
    condition.lagged(5.0)
    lagging = candidate("a", condition=condition)
    assert choose_server([lagging], 5.01, Position(1, 9), "a") == "a"


def simulate(slow_factor: float, rate: float, seconds: float) -> float:
    """Simulate reads on three servers; return the share answered in time.

    Each server runs five statements of 30 ms concurrently and queues the rest.
    Server `a` takes `slow_factor` times as long.
    """
    free_at = {name: [0.0] * 5 for name in "abc"}
    candidates = [
        candidate(name, Distance.ELSEWHERE if name != "a" else Distance.REGION)
        for name in "abc"
    ]
    by_name = {one.server_id: one for one in candidates}
    under_way: list[tuple[float, str, float]] = []
    in_time = total = 0
    now = 0.0
    while now < seconds:
        now += 1.0 / rate
        for end, name, start in [one for one in under_way if one[0] <= now]:
            under_way.remove((end, name, start))
            by_name[name].condition.running -= 1
            by_name[name].condition.answered(end - start, end)
        chosen = choose_server(candidates, now, None, None)
        assert chosen is not None
        work = 0.03 * (slow_factor if chosen == "a" else 1.0)
        slots = free_at[chosen]
        first = slots.index(min(slots))
        end = max(now, slots[first]) + work
        slots[first] = end
        by_name[chosen].condition.running += 1
        under_way.append((end, chosen, now))
        total += 1
        in_time += end - now <= 0.4
    return in_time / total


def test_peak_load_is_served_in_time_by_all_three_servers() -> None:
    # 350 reads a second need 10.5 of the 15 slots; one server has 5.
    assert simulate(slow_factor=1.0, rate=350.0, seconds=10.0) >= 0.99


def test_slow_near_server_barely_delays_callers() -> None:
    # The other two servers can run 333 reads a second.
    assert simulate(slow_factor=5.0, rate=250.0, seconds=10.0) >= 0.97
