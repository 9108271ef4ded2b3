"""Tests of the frame writer over a loopback connection."""

import asyncio
import collections.abc

import pytest

from jackdawcrank_wire.framing import FrameReader, FrameWriter, StreamEnd

FramePair = tuple[FrameWriter, FrameReader]


@pytest.fixture
async def frame_pair() -> collections.abc.AsyncIterator[FramePair]:
    accepted: asyncio.Queue[
        tuple[asyncio.StreamReader, asyncio.StreamWriter]
    ] = asyncio.Queue()
    server = await asyncio.start_server(
        lambda *pair: accepted.put_nowait(pair), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    reader, accepted_writer = await accepted.get()
    yield FrameWriter(writer, max_buffer_bytes=1000), FrameReader(reader)
    accepted_writer.transport.abort()
    writer.transport.abort()
    server.close()


async def test_close_flushes_the_buffer(frame_pair: FramePair) -> None:
    writer, reader = frame_pair
    assert writer.write(b"x" * 500_000)
    closing = asyncio.create_task(writer.close())
    assert await reader.read() == b"x" * 500_000
    await closing
    assert not writer.write(b"late")


@pytest.mark.serial
async def test_drain_waits_while_the_peer_does_not_read(
    frame_pair: FramePair,
) -> None:
    writer, _ = frame_pair
    while writer.writer.transport.get_write_buffer_size() <= 1000:
        writer.write(b"x" * 1_000_000)
    draining = asyncio.create_task(writer.drain())
    done, _ = await asyncio.wait([draining], timeout=0.02)
    assert not done
    writer.abort()
    assert not await draining


async def test_abort_discards_the_buffer(frame_pair: FramePair) -> None:
    writer, reader = frame_pair
    writer.write(b"x" * 10_000_000)
    writer.abort()
    assert isinstance(await reader.read(), StreamEnd)


def test_body_size_is_limited() -> None:
    writer = FrameWriter.__new__(FrameWriter)
    writer.max_frame_bytes = 3
    assert [writer.fits(b"x" * size) for size in (0, 1, 3, 4)] == [
        False,
        True,
        True,
        False,
    ]
