"""Tests of unauthenticated and misbehaving clients on the peer port."""

import asyncio
import random
import typing

import pytest

from jackdawcrank.peers import PeerUnreachable
from jackdawcrank.peers import handshake as handshake_module
from jackdawcrank.peers import peer_server as server_module
from jackdawcrank_wire.codec import MsgpackCodec
from jackdawcrank_wire.framing import FrameReader, FrameWriter, StreamEnd
from jackdawcrank_wire.messages import (
    Answer,
    Challenge,
    Execute,
    Message,
    Ping,
    Proof,
    StatementRequest,
)

CODEC = MsgpackCodec()
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def connect(pair: typing.Any) -> Connection:
    return await asyncio.open_connection("127.0.0.1", pair.b.server.port)


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    try:
        async with asyncio.timeout(5):
            return await reader.read()
    except ConnectionResetError:
        return b""


async def assert_served(pair: typing.Any) -> None:
    assert isinstance(await pair.a.execute("vm-b", b"one"), Answer)


RNG = random.Random(1)


@pytest.mark.parametrize(
    "payload",
    [
        pytest.param(b"GET / HTTP/1.1\r\n\r\n", id="HTTP"),
        pytest.param(b"\x00\x00\x00\x00", id="empty frame"),
        pytest.param(b"\x00\x00\x10\x00" + b"x" * 4096, id="long frame"),
        pytest.param(b"\x00\x00\x04\x01", id="announced long frame"),
        pytest.param(b"\x00\x00\x00\x03\xff\xff\xff", id="no message"),
        *(
            pytest.param(RNG.randbytes(200), id=f"noise {number}")
            for number in range(5)
        ),
    ],
)
async def test_garbage_closes_the_connection(
    pair: typing.Any, payload: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(handshake_module, "HANDSHAKE_TIMEOUT_SECONDS", 60.0)
    reader, writer = await connect(pair)
    writer.write(payload)
    await read_to_end(reader)
    writer.close()
    assert pair.b.server.refused == 1
    await assert_served(pair)


@pytest.mark.serial
async def test_a_connection_that_sends_nothing_is_closed(
    pair: typing.Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(handshake_module, "HANDSHAKE_TIMEOUT_SECONDS", 0.03)
    reader, writer = await connect(pair)
    await read_to_end(reader)
    writer.close()
    assert pair.b.server.refused == 1
    await assert_served(pair)


async def test_concurrent_handshakes_are_limited(
    pair: typing.Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server_module, "MAX_HANDSHAKES", 1)
    first = await connect(pair)
    await first[0].readexactly(4)
    second = await connect(pair)
    assert await read_to_end(second[0]) == b""
    first[1].close()
    second[1].close()


async def test_a_wrong_secret_reaches_no_handler(pair: typing.Any) -> None:
    untrusted = await pair.add("vm-s", secret=b"another secret")
    address = ("127.0.0.1", pair.b.server.port)
    untrusted.peer_pool.set_addresses({"vm-b": address})
    answer = await untrusted.execute("vm-b", b"one")
    assert isinstance(answer, PeerUnreachable)
    assert not answer.sent
    assert pair.b.stub_handler.seen == []
    await assert_served(pair)


async def test_an_acceptor_without_the_secret_receives_no_statement(
    pair: typing.Any,
) -> None:
    untrusted = await pair.add("vm-s", secret=b"another secret")
    pair.a.peer_pool.set_addresses(
        {"vm-s": ("127.0.0.1", untrusted.server.port)}
    )
    answer = await pair.a.execute("vm-s", b"one")
    assert isinstance(answer, PeerUnreachable)
    assert not answer.sent


async def send_as_dialer(
    pair: typing.Any, messages: list[Message]
) -> list[Message]:
    reader, writer = await connect(pair)
    frames = FrameReader(reader)
    for message in messages:
        FrameWriter(writer).write(CODEC.encode(message))
    received = []
    while not isinstance(frame := await frames.read(), StreamEnd):
        received.append(typing.cast(Message, CODEC.decode(frame)))
    writer.close()
    return received


async def test_a_recorded_session_cannot_be_replayed(
    pair: typing.Any,
) -> None:
    recorded: list[Message] = []

    def record(side: str, message: Message) -> list[Message]:
        if side == "dialer":
            recorded.append(message)
        return [message]

    pair.interceptor.hook = record
    await assert_served(pair)
    received = await send_as_dialer(pair, recorded)
    assert [type(message) for message in received] == [Challenge]
    assert pair.b.stub_handler.seen == [b"one"]


@pytest.mark.parametrize(
    "message",
    [
        pytest.param(Execute(1, StatementRequest("soil", b"x")), id="execute"),
        pytest.param(Ping(1), id="ping"),
        pytest.param(Proof("vm-a", "1", b"short", b""), id="short nonce"),
        pytest.param(Proof("vm-a", "1", b"n" * 32, b""), id="no digest"),
    ],
)
async def test_no_message_is_handled_before_authentication(
    pair: typing.Any, message: Message
) -> None:
    received = await send_as_dialer(pair, [message])
    assert [type(answer) for answer in received] == [Challenge]
    assert pair.b.stub_handler.seen == []


async def test_a_handshake_message_after_authentication_ends_the_stream(
    pair: typing.Any, eventually: typing.Any
) -> None:
    await assert_served(pair)
    stream = pair.a.peer_pool.streams["vm-b"]
    stream.post(Challenge(b"n" * 32))
    await eventually(lambda: stream.lost)
    await assert_served(pair)
