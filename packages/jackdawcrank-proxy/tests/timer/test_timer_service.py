"""Tests of the event-loop timer with a fake clock."""

import asyncio

import pytest

from jackdawcrank.timer import TimerService


class FakeClock:
    def __init__(self) -> None:
        self.time = 0.0

    def __call__(self) -> float:
        return self.time

    async def advance(self, service: TimerService, seconds: float) -> None:
        self.time += seconds
        service.start_due_calls()
        for _ in range(5):
            await asyncio.sleep(0)


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


@pytest.fixture
async def service(clock: FakeClock) -> TimerService:
    return TimerService(clock)


async def test_a_slow_call_never_overlaps_itself(
    clock: FakeClock, service: TimerService
) -> None:
    begun: list[float] = []
    release = asyncio.Event()

    async def slow(now: float) -> None:
        begun.append(now)
        await release.wait()

    service.subscribe("slow", 1.0, slow)
    await clock.advance(service, 1.0)
    await clock.advance(service, 5.0)
    assert begun == [1.0]
    release.set()
    await clock.advance(service, 0.0)
    await clock.advance(service, 1.0)
    assert begun == [1.0, 7.0]


async def test_slow_callback_does_not_delay_others(
    clock: FakeClock, service: TimerService
) -> None:
    calls: list[float] = []

    async def stuck(now: float) -> None:
        await asyncio.Event().wait()

    async def call(now: float) -> None:
        calls.append(now)

    service.subscribe("stuck", 1.0, stuck)
    service.subscribe("other", 1.0, call)
    await clock.advance(service, 1.0)
    await clock.advance(service, 1.0)
    assert calls == [1.0, 2.0]
    await service.close()


async def test_exception_does_not_stop_subscriptions(
    clock: FakeClock, service: TimerService
) -> None:
    calls: list[float] = []

    async def broken(now: float) -> None:
        calls.append(now)
        raise RuntimeError

    service.subscribe("broken", 1.0, broken)
    await clock.advance(service, 1.0)
    await clock.advance(service, 1.0)
    assert calls == [1.0, 2.0]


async def test_event_loop_runs_callbacks() -> None:
    service = TimerService()
    called = asyncio.Event()

    async def call(now: float) -> None:
        called.set()

    service.call_later(0.001, call)
    await service.start()
    await asyncio.wait_for(called.wait(), 5)
    await service.close()


async def test_earlier_call_added_later_runs_on_time() -> None:
    service = TimerService()
    called = asyncio.Event()

    async def never(now: float) -> None:
        raise AssertionError

    async def call(now: float) -> None:
        called.set()

    await service.start()
    service.call_later(1000.0, never)
    service.call_later(0.001, call)
    await asyncio.wait_for(called.wait(), 5)
    await service.close()


async def test_close_cancels_a_call_in_progress(
    clock: FakeClock, service: TimerService
) -> None:
    cancelled: list[bool] = []

    async def stuck(now: float) -> None:
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.append(True)
            raise

    service.subscribe("stuck", 1.0, stuck)
    await clock.advance(service, 1.0)
    await service.close()
    assert cancelled == [True]
