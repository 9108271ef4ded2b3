"""Test of the event loop whose clock stands while callbacks run."""

import asyncio
import time

import pytest

from jackdawcrank_standins.history import IdleTimeLoop


def test_only_waiting_takes_time() -> None:
    """Guards against time limits that pass while others use the loop."""

    async def work() -> tuple[float, float]:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        loop.call_soon(time.sleep, 0.05)
        await asyncio.sleep(0)
        after_work = loop.time()
        loop.call_later(0.01, time.sleep, 0.05)
        await asyncio.sleep(0.02)
        return after_work - started_at, loop.time() - after_work

    with asyncio.Runner(loop_factory=IdleTimeLoop) as runner:
        assert runner.run(work()) == (0.0, pytest.approx(0.02))
