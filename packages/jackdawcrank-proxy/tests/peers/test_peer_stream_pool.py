"""Tests of requests between two proxies over TCP connections."""

import asyncio
import typing

import pytest

from jackdawcrank.peers import PeerUnreachable, StreamedAnswer, StreamedResult
from jackdawcrank.peers import incoming_requests as incoming_module
from jackdawcrank.peers import peer_stream as stream_module
from jackdawcrank_wire.messages import (
    Answer,
    AnswerEnd,
    AskEvidence,
    Cancel,
    ColumnInfo,
    ConfigVersion,
    EvidenceAnswer,
    Execute,
    Message,
    ResultError,
    ResultOk,
    ResultRows,
    RowsChunk,
    StatementOutcome,
    StatementRequest,
)

COLUMNS = (ColumnInfo("plot", 253),)
ROW = (b"x" * 10_000,)


def info(answer: typing.Any) -> str:
    assert isinstance(answer, Answer)
    assert isinstance(answer.result, ResultOk)
    return answer.result.info


def is_unsent(answer: typing.Any) -> bool:
    return isinstance(answer, PeerUnreachable) and not answer.sent


def has_unknown_outcome(answer: typing.Any) -> bool:
    return isinstance(answer, PeerUnreachable) and answer.sent


async def test_one_stream_carries_both_ends_requests(pair: typing.Any) -> None:
    assert info(await pair.a.execute("vm-b", b"one")) == "one"
    assert info(await pair.b.execute("vm-a", b"two")) == "two"
    assert pair.interceptor.accepted == 1


async def test_answers_in_another_order_reach_their_requests(
    pair: typing.Any,
) -> None:
    names = [b"%d" % number for number in range(20)]
    for name in names:
        pair.b.stub_handler.release_event(name)
    tasks = [
        asyncio.create_task(pair.a.execute("vm-b", name)) for name in names
    ]
    for name in reversed(names):
        pair.b.stub_handler.release_event(name).set()
    answers = [info(await task) for task in tasks]
    assert answers == [name.decode() for name in names]


@pytest.mark.serial
async def test_a_late_answer_is_dropped(
    pair: typing.Any, eventually: typing.Any
) -> None:
    pair.interceptor.hook = lambda side, message: (
        [] if isinstance(message, Cancel) else [message]
    )
    release_event = pair.b.stub_handler.release_event(b"slow")
    assert has_unknown_outcome(
        await pair.a.execute("vm-b", b"slow", timeout=0.03)
    )
    stream = pair.a.peer_pool.streams["vm-b"]
    release_event.set()
    await eventually(lambda: stream.pending.dropped == 1)
    assert info(await pair.a.execute("vm-b", b"next")) == "next"


async def test_duplicated_frames_have_no_effect(pair: typing.Any) -> None:
    pair.interceptor.hook = lambda side, message: (
        [message] * (3 if isinstance(message, Execute | Answer) else 1)
    )
    for sql in (b"one", b"two", b"three"):
        assert info(await pair.a.execute("vm-b", sql)) == sql.decode()
    assert pair.b.stub_handler.seen == [b"one", b"two", b"three"]


async def test_a_duplicate_of_a_refused_request_is_not_run(
    pair: typing.Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    frames: list[Message] = []

    def repeat_refused(side: str, message: Message) -> list[Message]:
        if isinstance(message, Execute):
            frames.append(message)
        return [*frames, message] if frames else [message]

    pair.interceptor.hook = repeat_refused
    monkeypatch.setattr(incoming_module, "MAX_INCOMING", 0)
    assert is_unsent(await pair.a.execute("vm-b", b"refused"))
    monkeypatch.undo()
    assert info(await pair.a.execute("vm-b", b"next")) == "next"
    assert pair.b.stub_handler.seen == [b"next"]


async def test_an_answer_of_another_type_ends_the_stream(
    pair: typing.Any,
) -> None:
    def swap(side: str, message: Message) -> list[Message]:
        if isinstance(message, Answer):
            return [EvidenceAnswer(message.request_number, "soil")]
        return [message]

    pair.interceptor.hook = swap
    assert has_unknown_outcome(await pair.a.execute("vm-b", b"one"))
    pair.interceptor.hook = lambda side, message: [message]
    assert info(await pair.a.execute("vm-b", b"two")) == "two"


async def test_a_stream_that_goes_silent_is_replaced(
    pair: typing.Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(stream_module, "TICK_INTERVAL_SECONDS", 0.005)
    await pair.a.execute("vm-b", b"one")
    stream = pair.a.peer_pool.streams["vm-b"]
    pair.interceptor.blackhole()
    answer = await pair.a.execute("vm-b", b"two")
    assert has_unknown_outcome(answer)
    assert answer.detail == "silent"
    assert info(await pair.a.execute("vm-b", b"three")) == "three"
    assert pair.a.peer_pool.streams["vm-b"] is not stream


async def test_a_slow_handler_does_not_count_as_a_silent_peer(
    pair: typing.Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(stream_module, "TICK_INTERVAL_SECONDS", 0.002)
    release_event = pair.b.stub_handler.release_event(b"slow")
    task = asyncio.create_task(pair.a.execute("vm-b", b"slow"))
    await asyncio.sleep(0.05)
    release_event.set()
    assert info(await task) == "slow"
    assert pair.interceptor.accepted == 1


@pytest.mark.serial
async def test_silence_while_idle_leaves_no_outcome_unknown(
    pair: typing.Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    await pair.a.execute("vm-b", b"one")
    pair.interceptor.blackhole()
    monkeypatch.setattr(stream_module, "IDLE_PROBE_AFTER_SECONDS", -1.0)
    monkeypatch.setattr(stream_module, "IDLE_PROBE_TIMEOUT_SECONDS", 0.02)
    assert info(await pair.a.execute("vm-b", b"two")) == "two"
    assert pair.b.stub_handler.seen == [b"one", b"two"]
    assert pair.interceptor.accepted == 2


async def test_a_monitored_peer_that_goes_silent_is_detected(
    pair: typing.Any, monkeypatch: pytest.MonkeyPatch, eventually: typing.Any
) -> None:
    monkeypatch.setattr(stream_module, "TICK_INTERVAL_SECONDS", 0.005)
    lost: list[str] = []
    pair.b.peer_pool.lost_callbacks.append(lambda vm, _: lost.append(vm))
    pair.b.peer_pool.is_monitored = lambda vm: vm == "vm-a"
    await pair.a.execute("vm-b", b"one")
    pair.interceptor.blackhole()
    await eventually(lambda: lost == ["vm-a"])


async def test_an_aborted_connection_leaves_the_outcome_unknown(
    pair: typing.Any, eventually: typing.Any
) -> None:
    pair.b.stub_handler.release_event(b"held")
    lost: list[str] = []
    pair.a.peer_pool.lost_callbacks.append(lambda vm, _: lost.append(vm))
    task = asyncio.create_task(pair.a.execute("vm-b", b"held"))
    await eventually(lambda: pair.b.stub_handler.seen == [b"held"])
    pair.interceptor.abort_connections()
    assert has_unknown_outcome(await task)
    assert lost == ["vm-b"]
    await eventually(lambda: pair.b.stub_handler.cancelled == [b"held"])


async def test_an_unreachable_peer_is_dialed_again_only_after_a_delay(
    pair: typing.Any,
) -> None:
    await pair.interceptor.close()
    first = await pair.a.execute("vm-b", b"one")
    second = await pair.a.execute("vm-b", b"one")
    assert is_unsent(first)
    assert is_unsent(second)
    assert second.detail == "backing off after a failed connection attempt"
    assert is_unsent(await pair.a.execute("vm-x", b"one"))


async def test_a_new_address_is_dialed_at_once(pair: typing.Any) -> None:
    pair.a.peer_pool.set_addresses({"vm-b": ("127.0.0.1", 1), "vm-x": ("", 1)})
    assert is_unsent(await pair.a.execute("vm-b", b"one"))
    assert is_unsent(await pair.a.execute("vm-x", b"one"))
    address = ("127.0.0.1", pair.b.server.port)
    pair.a.peer_pool.set_addresses({"vm-b": address})
    assert pair.a.peer_pool.backoffs == {}
    assert info(await pair.a.execute("vm-b", b"two")) == "two"


async def test_an_address_reused_by_another_vm_receives_no_request(
    pair: typing.Any,
) -> None:
    other = await pair.add("vm-c")
    pair.a.peer_pool.set_addresses({"vm-b": ("127.0.0.1", other.server.port)})
    assert is_unsent(await pair.a.execute("vm-b", b"one"))
    assert other.stub_handler.seen == []


async def test_cancelling_a_request_cancels_its_handler(
    pair: typing.Any, eventually: typing.Any
) -> None:
    pair.b.stub_handler.release_event(b"held")
    task = asyncio.create_task(pair.a.execute("vm-b", b"held"))
    await eventually(lambda: pair.b.stub_handler.seen == [b"held"])
    task.cancel()
    await eventually(lambda: pair.b.stub_handler.cancelled == [b"held"])
    await eventually(lambda: not len(pair.a.peer_pool.streams["vm-b"].pending))


async def test_a_failing_handler_leaves_the_outcome_unknown(
    pair: typing.Any,
) -> None:
    pair.b.stub_handler.answers[b"broken"] = lambda: 1 / 0
    pair.b.stub_handler.answers[b"nothing"] = None
    assert has_unknown_outcome(await pair.a.execute("vm-b", b"broken"))
    assert has_unknown_outcome(await pair.a.execute("vm-b", b"nothing"))
    assert info(await pair.a.execute("vm-b", b"fine")) == "fine"


async def test_a_request_without_handler_is_refused(pair: typing.Any) -> None:
    question = AskEvidence(0, "soil")
    assert is_unsent(await pair.a.peer_pool.request("vm-b", question, 1.0))


@pytest.mark.parametrize(
    ("module", "name"),
    [(incoming_module, "MAX_INCOMING"), (stream_module, "MAX_PENDING")],
)
async def test_requests_above_a_limit_reach_no_handler(
    pair: typing.Any,
    monkeypatch: pytest.MonkeyPatch,
    eventually: typing.Any,
    module: typing.Any,
    name: str,
) -> None:
    monkeypatch.setattr(module, name, 1)
    release_event = pair.b.stub_handler.release_event(b"held")
    task = asyncio.create_task(pair.a.execute("vm-b", b"held"))
    await eventually(lambda: pair.b.stub_handler.seen == [b"held"])
    assert is_unsent(await pair.a.execute("vm-b", b"more"))
    release_event.set()
    assert info(await task) == "held"
    assert pair.b.stub_handler.seen == [b"held"]


@pytest.mark.serial
async def test_a_closing_peer_finishes_its_requests_and_takes_no_new_ones(
    pair: typing.Any, eventually: typing.Any
) -> None:
    release_event = pair.b.stub_handler.release_event(b"held")
    task = asyncio.create_task(pair.a.execute("vm-b", b"held"))
    await eventually(lambda: pair.b.stub_handler.seen == [b"held"])
    closing = asyncio.create_task(pair.b.close())
    await eventually(lambda: pair.a.peer_pool.connected() == [])
    late_request = asyncio.create_task(
        pair.a.execute("vm-b", b"late", timeout=0.05)
    )
    release_event.set()
    assert info(await task) == "held"
    assert is_unsent(await late_request)
    await closing
    assert pair.b.stub_handler.seen == [b"held"]


async def test_a_request_that_crosses_a_close_is_sent_again(
    pair: typing.Any,
) -> None:
    await pair.a.execute("vm-b", b"one")
    stream = pair.b.peer_pool.streams["vm-a"]
    closing = asyncio.create_task(stream.close())
    answer = await pair.a.execute("vm-b", b"two")
    assert info(answer) == "two"
    await closing
    assert pair.b.stub_handler.seen == [b"one", b"two"]
    assert pair.interceptor.accepted == 2


async def test_idle_streams_are_closed_and_opened_again(
    pair: typing.Any, eventually: typing.Any
) -> None:
    await pair.a.execute("vm-b", b"one")
    stream = pair.a.peer_pool.streams["vm-b"]
    lost: list[str] = []
    for node in (pair.a, pair.b):
        node.peer_pool.lost_callbacks.append(lambda vm, _: lost.append(vm))
    await pair.a.peer_pool.close_idle(0.0)
    assert stream.usable
    stream.last_used_at -= 100.0
    await pair.a.peer_pool.close_idle(0.0)
    await eventually(lambda: stream.lost and not pair.b.peer_pool.streams)
    assert lost == []
    assert info(await pair.a.execute("vm-b", b"two")) == "two"


async def test_simultaneous_dials_converge_on_one_stream(
    pair: typing.Any,
) -> None:
    pair.b.peer_pool.set_addresses({"vm-a": ("127.0.0.1", pair.a.server.port)})
    await asyncio.gather(
        pair.a.execute("vm-b", b"one"), pair.b.execute("vm-a", b"two")
    )
    await pair.a.execute("vm-b", b"three")
    dialers = {
        pair.a.peer_pool.streams["vm-b"].connection.dialer,
        pair.b.peer_pool.streams["vm-a"].connection.dialer,
    }
    assert dialers == {"vm-a"}


@pytest.mark.parametrize("first", ["vm-a", "vm-b"])
async def test_the_stream_of_the_lower_name_is_preferred(
    pair: typing.Any, first: str
) -> None:
    pair.b.peer_pool.set_addresses({"vm-a": ("127.0.0.1", pair.a.server.port)})
    ends = {"vm-a": pair.a, "vm-b": pair.b}
    dialer, other = ends.pop(first), *ends.values()
    await dialer.execute(other.vm, b"one")
    del other.peer_pool.streams[dialer.vm]
    await other.execute(dialer.vm, b"two")
    assert pair.a.peer_pool.streams["vm-b"].connection.dialer == "vm-a"


async def test_a_restarted_peer_replaces_its_old_stream(
    pair: typing.Any, eventually: typing.Any
) -> None:
    await pair.a.execute("vm-b", b"one")
    restarted = await pair.add("vm-b", boot="2")
    restarted.peer_pool.set_addresses(
        {"vm-a": ("127.0.0.1", pair.a.server.port)}
    )
    await restarted.execute("vm-a", b"hello")
    assert info(await pair.a.execute("vm-b", b"two")) == "two"
    assert restarted.stub_handler.seen == [b"two"]


async def test_notifications_reach_their_handler(
    pair: typing.Any, eventually: typing.Any
) -> None:
    seen: list[tuple[str, int]] = []

    async def on_version(vm: str, message: ConfigVersion) -> None:
        seen.append((vm, message.version))

    pair.b.handlers.register(ConfigVersion, on_version)
    assert await pair.a.peer_pool.notify("vm-b", ConfigVersion(7))
    pair.a.peer_pool.broadcast(ConfigVersion(8))
    await eventually(lambda: seen == [("vm-a", 7), ("vm-a", 8)])
    assert not await pair.a.peer_pool.notify("vm-x", ConfigVersion(9))


async def test_a_broadcast_may_be_limited(
    pair: typing.Any, eventually: typing.Any
) -> None:
    seen: list[str] = []
    nodes = [await pair.add(f"vm-{number}") for number in range(4)]
    addresses = {node.vm: ("127.0.0.1", node.server.port) for node in nodes}
    pair.a.peer_pool.set_addresses(addresses)

    for node in nodes:
        await pair.a.execute(node.vm, b"one")

        async def on_version(
            vm: str, message: ConfigVersion, name: str = node.vm
        ) -> None:
            seen.append(name)

        node.handlers.register(ConfigVersion, on_version)
    pair.a.peer_pool.broadcast(ConfigVersion(1), limit=2)
    await eventually(lambda: len(seen) == 2)
    pair.a.peer_pool.broadcast(ConfigVersion(2), limit=9)
    await eventually(lambda: len(seen) == 6)
    assert set(seen) == set(addresses)


async def test_a_large_result_arrives_complete(pair: typing.Any) -> None:
    rows = (ROW,) * 500
    complete_result = ResultRows(COLUMNS, rows)
    pair.b.stub_handler.answers[b"big"] = Answer(0, complete_result)
    answer = await pair.a.execute("vm-b", b"big", timeout=10.0)
    assert isinstance(answer, Answer)
    assert answer.result == complete_result


async def open_large_result(pair: typing.Any) -> StreamedAnswer:
    pair.b.stub_handler.answers[b"big"] = Answer(
        0, ResultRows(COLUMNS, (ROW,) * 500)
    )
    statement = StatementRequest("soil", b"big")
    answer = await pair.a.peer_pool.request_streamed(
        "vm-b", Execute(0, statement), 10.0
    )
    assert isinstance(answer, StreamedAnswer)
    return answer


async def test_an_unread_result_does_not_block_other_requests(
    pair: typing.Any,
) -> None:
    sent: list[RowsChunk] = []

    def count(side: str, message: Message) -> list[Message]:
        if isinstance(message, RowsChunk):
            sent.append(message)
        return [message]

    pair.interceptor.hook = count
    large_result = await open_large_result(pair)
    for _ in range(20):
        assert info(await pair.a.execute("vm-b", b"small")) == "small"
    assert len(sent) <= 8
    assert sum([len(rows) async for rows in large_result.chunks()]) > 400
    assert isinstance(large_result.end, AnswerEnd)


async def test_closing_a_result_stops_its_sender(
    pair: typing.Any, eventually: typing.Any
) -> None:
    large_result = await open_large_result(pair)
    large_result.close()
    await eventually(lambda: not len(pair.b.peer_pool.streams["vm-a"].incoming))


async def test_a_truncated_result_is_not_reported_as_complete(
    pair: typing.Any,
) -> None:
    large_result = await open_large_result(pair)
    pair.interceptor.abort_connections()
    async for _ in large_result.chunks():
        pass
    assert has_unknown_outcome(large_result.end)


async def test_a_result_with_missing_rows_is_not_reported_as_complete(
    pair: typing.Any,
) -> None:
    chunks: list[Message] = []

    def drop_second(side: str, message: Message) -> list[Message]:
        if isinstance(message, RowsChunk):
            chunks.append(message)
        return [] if len(chunks) == 2 and message is chunks[1] else [message]

    pair.interceptor.hook = drop_second
    pair.b.stub_handler.answers[b"big"] = Answer(
        0, ResultRows(COLUMNS, (ROW,) * 30)
    )
    answer = await pair.a.execute("vm-b", b"big")
    assert has_unknown_outcome(answer)
    assert answer.detail == "rows missing"


async def test_a_result_that_fails_midway_returns_its_error(
    pair: typing.Any,
) -> None:
    error = ResultError(StatementOutcome.FAILED, "server", 3024)

    async def rows() -> typing.Any:
        yield (ROW,)
        yield error

    def answer() -> StreamedResult:
        return StreamedResult(Answer(0, ResultRows(COLUMNS, (ROW,))), rows())

    pair.b.stub_handler.answers[b"breaks"] = answer
    result = await pair.a.execute("vm-b", b"breaks")
    assert isinstance(result, Answer)
    assert result.result == error
