import random

from jackdawcrank_policy.waiting import CongestionWindow


def test_at_least_one_statement_is_always_admitted() -> None:
    window = CongestionWindow(2.0, 8.0)
    for second in range(50):
        window.refused(float(second))
    assert window.size == 1.0
    assert window.admits(0) and not window.admits(1)


def test_refusals_of_one_overflow_count_once() -> None:
    window = CongestionWindow(8.0, 8.0)
    for step in range(10):
        window.refused(1.0 + step / 1000)
    assert window.size > 5.0


def test_answers_grow_window_to_max_size() -> None:
    window = CongestionWindow(1.0, 4.0)
    for _ in range(200):
        window.answered()
    assert window.size == 4.0


def simulate(limited: bool) -> tuple[float, float]:
    """Simulate ten homes that share a server with 6 slots and a queue of 48.

    Each home has more statements than the server can run; a refused statement
    is sent again after 30 ms.

    Returns:
      The refusals per served statement, and the mean share of the server's
      slots that were busy.
    """
    rng = random.Random(5)
    windows = [
        CongestionWindow(2.0 if limited else 16.0, 16.0) for _ in range(10)
    ]
    under_way = [0] * 10
    paused_until = [0.0] * 10
    queue: list[int] = []
    running: list[tuple[float, int]] = []
    served = refused = 0
    busy = 0.0
    now = 0.0
    while now < 20.0:
        now += 0.002
        for end, home in [one for one in running if one[0] <= now]:
            running.remove((end, home))
            under_way[home] -= 1
            served += 1
            if limited:
                windows[home].answered()
        for home in rng.sample(range(10), 10):
            while now >= paused_until[home] and windows[home].admits(
                under_way[home]
            ):
                if len(queue) >= 48:
                    refused += 1
                    paused_until[home] = now + 0.03
                    if limited:
                        windows[home].refused(now)
                    break
                queue.append(home)
                under_way[home] += 1
        while queue and len(running) < 6:
            home = queue.pop(0)
            running.append((now + rng.uniform(0.02, 0.05), home))
        busy += len(running) / 6 * 0.002
    return refused / served, busy / now


def test_full_server_stays_busy_with_few_refusals() -> None:
    refusals, busy = simulate(limited=True)
    assert busy >= 0.95
    assert refusals <= simulate(limited=False)[0] / 4


def test_granted_limit_ignores_answers_and_refusals() -> None:
    """Guards against a home that exceeds or shrinks its granted share."""
    window = CongestionWindow(2.0, 16.0)
    window.grant(5)
    window.answered()
    window.refused(1.0)
    assert window.size == 5
    window.end_grant(1.5)
    window.answered()
    assert window.size > 1.5
