"""Tests of the manual timer."""

import random

import pytest

from jackdawcrank.timer import ManualTimer


async def test_callback_runs_at_each_interval() -> None:
    timer = ManualTimer(now=10.0)
    calls: list[float] = []

    async def call(now: float) -> None:
        calls.append(now)

    timer.subscribe("test", 2.0, call)
    await timer.advance(1.9)
    assert calls == []
    await timer.advance(4.2)
    assert calls == [12.0, 14.0, 16.0]
    assert timer.now() == pytest.approx(16.1)


async def test_callbacks_run_in_order_of_due_time() -> None:
    timer = ManualTimer()
    calls: list[tuple[str, float]] = []

    async def slow(now: float) -> None:
        calls.append(("slow", now))

    async def fast(now: float) -> None:
        calls.append(("fast", now))

    timer.subscribe("slow", 3.0, slow)
    timer.subscribe("fast", 2.0, fast)
    await timer.advance(6.0)
    assert calls == [
        ("fast", 2.0),
        ("slow", 3.0),
        ("fast", 4.0),
        ("slow", 6.0),
        ("fast", 6.0),
    ]


async def test_exception_does_not_stop_subscriptions() -> None:
    timer = ManualTimer()
    calls: list[float] = []

    async def broken(now: float) -> None:
        calls.append(now)
        raise RuntimeError

    timer.subscribe("broken", 1.0, broken)
    timer.subscribe("also broken", 1.0, broken)
    await timer.advance(2.0)
    assert calls == [1.0, 1.0, 2.0, 2.0]


async def test_call_later_runs_once() -> None:
    timer = ManualTimer()
    calls: list[float] = []

    async def call(now: float) -> None:
        calls.append(now)

    timer.call_later(1.0, call)
    timer.call_later(1.0, call).close()
    await timer.advance(5.0)
    assert calls == [1.0]


async def test_callback_can_close_itself_and_schedule_others() -> None:
    timer = ManualTimer()
    calls: list[float] = []

    async def later(now: float) -> None:
        calls.append(now)

    async def once(now: float) -> None:
        subscription.close()
        timer.call_later(0.5, later)

    subscription = timer.subscribe("once", 1.0, once)
    await timer.advance(5.0)
    assert calls == [1.5]


async def test_jitter_stays_within_its_fraction() -> None:
    timer = ManualTimer()
    calls: list[float] = []

    async def call(now: float) -> None:
        calls.append(now)

    timer.subscribe("test", 1.0, call, 0.25, random.Random(7))
    await timer.advance(100.0)
    gaps = [b - a for a, b in zip([0.0, *calls], calls, strict=False)]
    assert min(gaps) >= 0.75
    assert max(gaps) <= 1.25
    assert len({round(gap, 6) for gap in gaps}) > 50


@pytest.mark.parametrize("interval", [0.0, -1.0])
def test_an_interval_must_be_above_zero(interval: float) -> None:
    async def call(now: float) -> None:
        raise AssertionError

    with pytest.raises(ValueError, match="interval"):
        ManualTimer().subscribe("test", interval, call)
