"""Tests of the frame reader with data fed directly to its stream."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawcrank_wire.framing import FrameReader, StreamEnd


def make_reader(data: bytes, max_frame_bytes: int = 100) -> FrameReader:
    stream = asyncio.StreamReader()
    stream.feed_data(data)
    stream.feed_eof()
    return FrameReader(stream, max_frame_bytes)


def frame(body: bytes) -> bytes:
    return len(body).to_bytes(4, "big") + body


@given(bodies=st.lists(st.binary(min_size=1, max_size=100), max_size=5))
async def test_frames_survive_a_round_trip(bodies: list[bytes]) -> None:
    reader = make_reader(b"".join(map(frame, bodies)))
    assert [await reader.read() for _ in bodies] == bodies
    end = await reader.read()
    assert isinstance(end, StreamEnd)
    assert end.clean


@given(garbage=st.binary(max_size=300))
async def test_garbage_ends_the_stream_within_its_length(
    garbage: bytes,
) -> None:
    reader = make_reader(garbage)
    for _ in range(len(garbage) + 1):
        if isinstance(await reader.read(), StreamEnd):
            return
    raise AssertionError(
        "the reader returned more frames than there were bytes"
    )


@pytest.mark.parametrize("length", [0, 101, 2**32 - 1])
async def test_a_length_out_of_bounds_is_not_read(length: int) -> None:
    reader = make_reader(length.to_bytes(4, "big") + b"x" * 101)
    end = await reader.read()
    assert isinstance(end, StreamEnd)
    assert str(length) in end.detail


@pytest.mark.parametrize("cut", [2, 6])
async def test_an_end_within_a_frame_is_not_clean(cut: int) -> None:
    end = await make_reader(frame(b"hello")[:cut]).read()
    assert isinstance(end, StreamEnd)
    assert not end.clean
