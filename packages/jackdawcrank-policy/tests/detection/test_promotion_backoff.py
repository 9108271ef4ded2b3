"""Tests of the back-off between promotions."""

from jackdawcrank_policy.detection import PromotionBackoff


def test_second_promotion_is_not_delayed() -> None:
    backoff = PromotionBackoff()
    assert backoff.ready_at(5.0) == 5.0
    backoff.promoted(5.0)
    assert backoff.ready_at(8.0) == 8.0


def test_further_promotions_back_off_exponentially() -> None:
    backoff = PromotionBackoff()
    waits = []
    now = 0.0
    for _ in range(5):
        ready = backoff.ready_at(now)
        waits.append(ready - now)
        now = ready
        backoff.promoted(now)
    assert waits[:2] == [0.0, 0.0]
    assert waits[2:] == sorted(waits[2:])
    assert waits[3] >= 2 * waits[2] > 0


def test_old_promotions_are_forgotten() -> None:
    backoff = PromotionBackoff([0.0, 1.0, 2.0])
    assert backoff.ready_at(5000.0) == 5000.0
