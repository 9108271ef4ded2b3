from jackdawcrank_policy.floors import FloorHistory
from jackdawcrank_policy.values.position import Position


def history(*answers: tuple[float, int]) -> FloorHistory:
    floors = FloorHistory()
    for asked_at, offset in answers:
        floors.learn(asked_at, Position(1, offset))
    return floors


def test_nothing_is_proved_without_an_answer() -> None:
    assert FloorHistory().oldest_within(10.0, 5.0) is None


def test_oldest_floor_within_the_age_is_taken() -> None:
    floors = history((1.0, 10), (2.0, 20), (3.0, 30))
    found = floors.oldest_within(3.2, 1.5)
    assert found is not None and found.position == Position(1, 20)


def test_floor_older_than_the_age_proves_nothing() -> None:
    assert history((1.0, 10)).oldest_within(2.6, 1.5) is None


def test_answer_with_a_lower_position_is_left_out() -> None:
    floors = history((1.0, 10), (2.0, 9))
    newest = floors.newest()
    assert newest is not None and newest.position == Position(1, 10)


def test_answers_out_of_order_do_not_make_a_floor_younger() -> None:
    floors = history((2.0, 10), (1.0, 11))
    newest = floors.newest()
    assert newest is not None and newest.asked_at == 2.0


def test_old_floors_are_dropped() -> None:
    floors = history(*((i * 0.1, i) for i in range(1000)))
    assert len(floors.floors) < 60


def test_new_term_supersedes_greater_offsets_of_the_old_one() -> None:
    floors = history((1.0, 50))
    floors.learn(2.0, Position(2, 40))
    newest = floors.newest()
    assert newest is not None and newest.position == Position(2, 40)
