"""Strangers on the peer port."""

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
Ends = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def connect(pair: typing.Any) -> Ends:
    return await asyncio.open_connection("127.0.0.1", pair.b.server.port)


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    try:
        async with asyncio.timeout(5):
            return await reader.read()
    except ConnectionResetError:
        return b""


async def check_served(pair: typing.Any) -> None:
    assert isinstance(await pair.a.ask("vm-b", b"one"), Answer)


RNG = random.Random(1)


@pytest.mark.parametrize(
    "junk",
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
    pair: typing.Any, junk: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(handshake_module, "HANDSHAKE_TIMEOUT_SECONDS", 60.0)
    reader, writer = await connect(pair)
    writer.write(junk)
    await read_to_end(reader)
    writer.close()
    assert pair.b.server.refused == 1
    await check_served(pair)


async def test_a_connection_that_says_nothing_is_closed(
    pair: typing.Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(handshake_module, "HANDSHAKE_TIMEOUT_SECONDS", 0.03)
    reader, writer = await connect(pair)
    await read_to_end(reader)
    writer.close()
    assert pair.b.server.refused == 1
    await check_served(pair)


async def test_handshakes_at_once_are_bounded(
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
    stranger = await pair.add("vm-s", secret=b"another secret")
    address = ("127.0.0.1", pair.b.server.port)
    stranger.peer_pool.set_addresses({"vm-b": address})
    answer = await stranger.ask("vm-b", b"one")
    assert isinstance(answer, PeerUnreachable)
    assert not answer.sent
    assert pair.b.backend.seen == []
    await check_served(pair)


async def test_an_acceptor_without_the_secret_learns_no_statement(
    pair: typing.Any,
) -> None:
    stranger = await pair.add("vm-s", secret=b"another secret")
    pair.a.peer_pool.set_addresses(
        {"vm-s": ("127.0.0.1", stranger.server.port)}
    )
    answer = await pair.a.ask("vm-s", b"one")
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


async def test_a_recorded_session_cannot_be_played_again(
    pair: typing.Any,
) -> None:
    recorded: list[Message] = []

    def record(side: str, message: Message) -> list[Message]:
        if side == "dialer":
            recorded.append(message)
        return [message]

    pair.relay.hook = record
    await check_served(pair)
    received = await send_as_dialer(pair, recorded)
    assert [type(message) for message in received] == [Challenge]
    assert pair.b.backend.seen == [b"one"]


@pytest.mark.parametrize(
    "message",
    [
        pytest.param(Execute(1, StatementRequest("soil", b"x")), id="execute"),
        pytest.param(Ping(1), id="ping"),
        pytest.param(Proof("vm-a", "1", b"short", b""), id="short nonce"),
        pytest.param(Proof("vm-a", "1", b"n" * 32, b""), id="no digest"),
    ],
)
async def test_nothing_is_handled_before_the_proof(
    pair: typing.Any, message: Message
) -> None:
    received = await send_as_dialer(pair, [message])
    assert [type(answer) for answer in received] == [Challenge]
    assert pair.b.backend.seen == []


async def test_a_handshake_message_after_the_proof_ends_the_stream(
    pair: typing.Any, eventually: typing.Any
) -> None:
    await check_served(pair)
    stream = pair.a.peer_pool.streams["vm-b"]
    stream.post(Challenge(b"n" * 32))
    await eventually(lambda: stream.lost)
    await check_served(pair)
