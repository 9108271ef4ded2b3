from jackdawcrank_policy.capacity import (
    HolderChoice,
    ServerPermits,
    Share,
    divide_permits,
)

HOMES = ("a", "b", "c", "d")


def test_division_is_max_min_fair() -> None:
    """Guards against a busy home that takes what others ask for."""
    assert divide_permits(8, {"a": 1, "b": 30, "c": 3}) == {
        "a": 1,
        "b": 4,
        "c": 3,
    }
    assert divide_permits(8, {"a": 2, "b": 1}) == {"a": 2, "b": 1}
    assert divide_permits(1, {"a": 9, "b": 9}) == {"a": 1, "b": 1}


def test_grants_and_reserve_stay_within_the_total() -> None:
    """Guards against permits granted twice while demand moves."""
    permits = ServerPermits(4)
    places = {}
    for step in range(200):
        home = HOMES[step % 3]
        demand = 20 if step // 30 % 3 == step % 3 else 1
        now = step * 0.035
        places[home] = permits.serve(home, demand, 0, HOMES, now)
        if len(places) == 3:
            assert sum(places.values()) + 1 <= permits.total
    assert permits.total == 12.0
    assert places["c"] == 1


def test_estimate_falls_once_per_interval_to_the_slots() -> None:
    """Guards against one overflow that counts for each home's report."""
    permits = ServerPermits(4)
    for home in HOMES:
        permits.serve(home, 5, 3, HOMES, 1.0)
    assert permits.total == 7.2
    for step in range(50):
        permits.serve("a", 5, 1, HOMES, 2.0 + step)
    assert permits.total == 4.0


def test_silent_homes_keep_only_the_reserve() -> None:
    """Guards against permits that stay with a home that left."""
    permits = ServerPermits(4)
    permits.serve("a", 9, 0, HOMES, 0.0)
    assert permits.serve("b", 9, 0, HOMES, 0.1) < 4
    assert permits.serve("b", 9, 0, HOMES, 1.05) >= 5


def test_share_ends_with_the_request() -> None:
    """Guards against a grant that a delay prolongs, and a large window."""
    share = Share(10.0, 7)
    assert share.is_valid(10.9)
    assert not share.is_valid(11.0)
    assert share.own_window(4, 3) == 8 / 3
    assert Share(0.0, 1).own_window(4, 3) == 1.0
    assert share.own_window(4, 16) == 1.0


def test_silent_holder_is_skipped_for_a_while() -> None:
    """Guards against reports that go on to a holder that has gone."""
    choice = HolderChoice()
    assert choice.holder(HOMES, 0.0) == "a"
    choice.report_due("a", 0.0)
    choice.report_due("a", 0.2)
    assert choice.holder(HOMES, 0.29) == "a"
    assert choice.holder(HOMES, 0.3) == "b"
    assert choice.holder(HOMES, 2.31) == "a"
    for home in HOMES:
        choice.skip(home, 3.0)
    assert choice.holder(HOMES, 3.1) is None
