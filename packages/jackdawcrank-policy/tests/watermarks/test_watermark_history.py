from jackdawcrank_policy.values.position import Position
from jackdawcrank_policy.watermarks import WatermarkHistory


def history(*answers: tuple[float, int]) -> WatermarkHistory:
    watermarks = WatermarkHistory()
    for asked_at, offset in answers:
        watermarks.add(asked_at, Position(1, offset))
    return watermarks


def test_empty_history_has_no_watermark() -> None:
    assert WatermarkHistory().oldest_within(10.0, 5.0) is None


def test_oldest_watermark_within_max_age_is_returned() -> None:
    watermarks = history((1.0, 10), (2.0, 20), (3.0, 30))
    found = watermarks.oldest_within(3.2, 1.5)
    assert found is not None and found.position == Position(1, 20)


def test_watermark_older_than_max_age_is_not_returned() -> None:
    assert history((1.0, 10)).oldest_within(2.6, 1.5) is None


def test_answer_with_lower_position_is_ignored() -> None:
    watermarks = history((1.0, 10), (2.0, 9))
    newest = watermarks.newest()
    assert newest is not None and newest.position == Position(1, 10)


def test_answer_out_of_order_is_ignored() -> None:
    watermarks = history((2.0, 10), (1.0, 11))
    newest = watermarks.newest()
    assert newest is not None and newest.asked_at == 2.0


def test_old_watermarks_are_dropped() -> None:
    watermarks = history(*((i * 0.1, i) for i in range(1000)))
    assert len(watermarks.watermarks) < 60


def test_new_term_supersedes_greater_offset_of_old_term() -> None:
    watermarks = history((1.0, 50))
    watermarks.add(2.0, Position(2, 40))
    newest = watermarks.newest()
    assert newest is not None and newest.position == Position(2, 40)
