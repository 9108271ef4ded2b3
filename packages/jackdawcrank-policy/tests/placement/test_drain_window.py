from jackdawcrank_policy.placement import DrainWindow


def test_server_that_stays_accepts_work() -> None:
    window = DrainWindow()
    window.reported(leaving=False, seen_before=False, now=10.0)
    assert window.accepts_work(1_000.0, 7.0)


def test_leaving_server_accepts_work_for_a_part_of_its_drain_time() -> None:
    window = DrainWindow()
    window.reported(leaving=True, seen_before=True, now=10.0)
    window.reported(leaving=True, seen_before=True, now=14.0)
    assert window.accepts_work(15.0, 7.0)
    assert not window.accepts_work(15.5, 7.0)


def test_server_that_was_found_leaving_accepts_no_work() -> None:
    window = DrainWindow()
    window.reported(leaving=True, seen_before=False, now=10.0)
    window.reported(leaving=True, seen_before=True, now=10.1)
    assert not window.accepts_work(10.1, 7.0)


def test_server_that_stays_after_all_accepts_work_again() -> None:
    window = DrainWindow()
    window.reported(leaving=True, seen_before=True, now=10.0)
    window.reported(leaving=False, seen_before=True, now=20.0)
    assert window.accepts_work(20.0, 7.0)
