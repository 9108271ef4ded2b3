"""Golden-file test of all messages of a session on the wire.

Set `UPDATE_GOLDEN=1` to regenerate the file after a protocol change.
"""

import asyncio
import enum
import os
import pathlib
import typing

import attrs
import msgpack
import pytest

from jackdawcrank.peers import peer_stream as stream_module
from jackdawcrank_policy.values import Position
from jackdawcrank_wire.codec import MsgpackCodec
from jackdawcrank_wire.messages import (
    Answer,
    AskEvidence,
    ChangesAnswer,
    ChangesRequest,
    ColumnInfo,
    ConfigVersion,
    EvidenceAnswer,
    GiveUpLease,
    LeaseGivenUp,
    Leaving,
    Message,
    Ping,
    Pong,
    ResultError,
    ResultOk,
    ResultRows,
    StatementOutcome,
)

GOLDEN = pathlib.Path(__file__).parent / "golden" / "session.txt"
CODEC = MsgpackCodec()
MAX_SHOWN_BYTES = 16


class Recorder:
    """Records messages by step, the dialer's first within each step."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.step: dict[str, list[str]] = {"dialer": [], "acceptor": []}

    def __call__(self, side: str, message: Message) -> list[Message]:
        if not isinstance(message, Ping | Pong):
            number, version, _ = msgpack.unpackb(CODEC.encode(message))
            name = type(message).__name__
            line = f"{side:8} {name} [{number}, {version}, {to_plain(message)}]"
            self.step[side].append(line)
        return [message]

    def end_step(self, title: str) -> None:
        lines = self.step["dialer"] + self.step["acceptor"]
        self.lines += [f"# {title}", *lines, ""]
        self.step = {"dialer": [], "acceptor": []}


def to_plain(value: typing.Any) -> typing.Any:
    """Return a value as lists, without trailing fields that hold defaults.

    An older protocol version omits the same trailing fields.
    """
    if attrs.has(type(value)):
        fields = list(attrs.fields(type(value)))
        while fields and getattr(value, fields[-1].name) == fields[-1].default:
            fields.pop()
        return [to_plain(getattr(value, field.name)) for field in fields]
    if isinstance(value, enum.StrEnum):
        return str(value)
    if isinstance(value, tuple):
        return [to_plain(item) for item in value]
    if isinstance(value, bytes) and len(value) > MAX_SHOWN_BYTES:
        return f"{value[:4].hex()}... {len(value)} bytes"
    return value


def register_handlers(pair: typing.Any) -> None:
    plot = ColumnInfo("plot", 253, table="samples")
    rows = ((b"12",), (None,))
    large_result = ((b"x" * 40_000,),) * 3
    refusal = ResultError(
        StatementOutcome.NOT_RUN, "overloaded", 1040, retry_after_ms=250
    )
    pair.b.stub_handler.answers |= {
        b"SELECT plot": Answer(0, ResultRows((plot,), rows, Position(3, 17))),
        b"INSERT": Answer(0, ResultOk(1, 42, Position(3, 18))),
        b"SELECT all": Answer(0, ResultRows((plot,), large_result)),
        b"BUSY": Answer(0, refusal),
    }
    pair.b.handlers.register(GiveUpLease, give_up_lease)
    pair.b.handlers.register(ChangesRequest, give_changes)
    pair.a.handlers.register(AskEvidence, give_evidence)


async def give_up_lease(vm: str, message: GiveUpLease) -> LeaseGivenUp:
    return LeaseGivenUp(0, message.group, message.term)


async def give_changes(vm: str, message: ChangesRequest) -> ChangesAnswer:
    return ChangesAnswer(0, 5, (b'{"kind":"group"}',), 5)


async def give_evidence(vm: str, message: AskEvidence) -> EvidenceAnswer:
    return EvidenceAnswer(0, message.group, "soil-1", 3, 0.5, suspects=False)


async def wait_until_delivered(pair: typing.Any) -> None:
    """Wait until all sent messages have passed the interceptor."""
    for peer_pool in (pair.a.peer_pool, pair.b.peer_pool):
        for stream in peer_pool.streams.values():
            await stream.probe_if_idle()


async def run_session(pair: typing.Any, recorder: Recorder) -> None:
    a, b = pair.a.peer_pool, pair.b.peer_pool
    statements = {
        "read": b"SELECT plot",
        "write": b"INSERT",
        "large result": b"SELECT all",
        "refusal": b"BUSY",
    }
    for title, sql in statements.items():
        await pair.a.execute("vm-b", sql)
        await wait_until_delivered(pair)
        recorder.end_step(title)
    requests = {
        "lease given up": a.request("vm-b", GiveUpLease(0, "soil", 4), 2.0),
        "evidence": b.request("vm-a", AskEvidence(0, "soil"), 2.0),
        "changes": a.request("vm-b", ChangesRequest(0, 4), 2.0),
        "unsupported": a.request("vm-b", AskEvidence(0, "soil"), 2.0),
        "configuration version": a.notify("vm-b", ConfigVersion(5)),
        "leaving": b.notify("vm-a", Leaving("vm-b")),
    }
    for title, request in requests.items():
        await request
        await wait_until_delivered(pair)
        recorder.end_step(title)
    pair.b.stub_handler.release_event(b"held")
    task = asyncio.create_task(pair.a.execute("vm-b", b"held"))
    await wait_until_delivered(pair)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await wait_until_delivered(pair)
    recorder.end_step("caller gone")
    await pair.b.peer_pool.close()
    recorder.end_step("closing")


async def test_a_whole_session(
    pair: typing.Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(stream_module, "IDLE_PROBE_AFTER_SECONDS", -1.0)
    recorder = Recorder()
    pair.interceptor.hook = recorder
    register_handlers(pair)
    await run_session(pair, recorder)
    text = "\n".join(recorder.lines)
    if os.environ.get("UPDATE_GOLDEN"):
        GOLDEN.write_text(text)
    assert text == GOLDEN.read_text()
