import asyncio

import pytest

from jackdawcrank.relay.server_lane import Hopeless, ServerLane
from jackdawcrank.seams.server_connection import NotOpened, OpenFailure
from jackdawcrank_policy.sessions import SessionContext
from jackdawcrank_policy.waiting import WaitLimits

from .conftest import FakeOpener, settle


def limits(seconds: float = 5.0) -> WaitLimits:
    now = asyncio.get_running_loop().time()
    return WaitLimits(1, now + seconds, now + seconds)


def ask(lane: ServerLane) -> asyncio.Task[object]:
    return asyncio.create_task(lane.acquire(SessionContext(), limits()))


async def test_herd_opens_one_connection_at_a_time(
    lane: ServerLane, opener: FakeOpener
) -> None:
    asking = [ask(lane) for _ in range(6)]
    await settle()
    assert (len(opener.waiting), lane.count) == (1, 1)
    await opener.let_one_open()
    assert (len(opener.waiting), lane.count) == (1, 2)
    for task in asking:
        task.cancel()


async def test_no_connection_is_opened_that_would_wait_at_the_gate(
    lane: ServerLane, opener: FakeOpener
) -> None:
    asking = [ask(lane) for _ in range(6)]
    await settle()
    for _ in range(2):
        await opener.let_one_open()
    # Two run, and the server is taken to be full.
    assert lane.gate.under_way == 2
    assert opener.waiting == [] and lane.count == 2
    lane.release(opener.opened[0])
    await settle()
    # What came back goes to the next one in line.
    assert lane.gate.under_way == 2 and lane.line.length == 3
    for task in asking:
        task.cancel()


async def test_opening_goes_on_when_the_gate_is_free_again(
    lane: ServerLane, opener: FakeOpener
) -> None:
    asking = [ask(lane) for _ in range(4)]
    await settle()
    for _ in range(2):
        await opener.let_one_open()
    assert opener.waiting == []
    # A transaction keeps its connection and rests.
    lane.rest(opener.opened[0])
    assert len(opener.waiting) == 0
    await settle()
    assert len(opener.waiting) == 1
    for task in asking:
        task.cancel()


async def test_whoever_comes_to_a_standing_line_is_refused_soon(
    lane: ServerLane,
) -> None:
    lane.gate.under_way = 2
    waiting = asyncio.create_task(lane.gate.enter(limits()))
    await settle()
    lane.gate.patience.nonempty_since = asyncio.get_running_loop().time() - 1.0
    now = asyncio.get_running_loop().time()
    hopeless = WaitLimits(1, now + 5.0, now)
    assert (await lane.gate.enter(hopeless)).value == "hopeless"
    waiting.cancel()


async def test_unreachable_server_is_told_to_everybody_in_line(
    lane: ServerLane, opener: FakeOpener
) -> None:
    asking = [ask(lane) for _ in range(3)]
    await settle()
    refused = NotOpened(OpenFailure.REFUSED, "nobody listens")
    opener.waiting.pop(0).set_result(refused)
    assert await asyncio.gather(*asking) == [refused] * 3
    assert lane.count == 0


@pytest.mark.parametrize("early", [True, False])
async def test_wait_for_a_connection_ends_as_hopeless(
    lane: ServerLane, early: bool
) -> None:
    now = asyncio.get_running_loop().time()
    lane.limit = 0 if early else 8
    short = WaitLimits(1, now + 0.01, now + 0.01)
    assert await lane.acquire(SessionContext(), short) == Hopeless()
    assert lane.line.length == 0


async def test_idle_connections_beyond_a_smaller_limit_are_closed(
    lane: ServerLane, opener: FakeOpener
) -> None:
    asking = [ask(lane) for _ in range(2)]
    await settle()
    for _ in range(2):
        await opener.let_one_open()
    assert await asyncio.gather(*asking) == opener.opened
    for link in opener.opened:
        lane.release(link)
    lane.limit = 1
    lane.trim(keep=1)
    assert (lane.count, len(lane.idle)) == (1, 1)
