"""Length-prefixed frames over asyncio streams."""

from jackdawcrank_wire.framing.frame_reader import FrameReader
from jackdawcrank_wire.framing.frame_writer import (
    MAX_BUFFER_BYTES,
    FrameWriter,
)
from jackdawcrank_wire.framing.stream_end import StreamEnd

__all__ = [
    "MAX_BUFFER_BYTES",
    "FrameReader",
    "FrameWriter",
    "StreamEnd",
]
