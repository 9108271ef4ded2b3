"""Reader of length-prefixed frames."""

import asyncio
import struct

from jackdawcrank_wire.codec import MAX_FRAME_BYTES
from jackdawcrank_wire.framing.stream_end import StreamEnd

LENGTH = struct.Struct(">I")


class FrameReader:
    """Reads frames from a stream.

    A frame is a four-byte big-endian length followed by the body.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        self.reader = reader
        self.max_frame_bytes = max_frame_bytes

    async def read(self) -> bytes | StreamEnd:
        """Return the body of the next frame, or why the stream has ended.

        The length is checked before the body is read, so that a peer cannot
        make the reader allocate more than `max_frame_bytes`.
        """
        try:
            header = await self.reader.readexactly(LENGTH.size)
        except asyncio.IncompleteReadError as error:
            return StreamEnd("closed by the peer", clean=not error.partial)
        except OSError as error:
            return StreamEnd(f"connection lost: {type(error).__name__}")
        (length,) = LENGTH.unpack(header)
        if not 0 < length <= self.max_frame_bytes:
            return StreamEnd(f"frame length of {length} bytes is out of bounds")
        return await self.read_body(length)

    async def read_body(self, length: int) -> bytes | StreamEnd:
        """Return the body of a frame, or why the stream has ended.

        Args:
          length: The length of the body in bytes.
        """
        try:
            return await self.reader.readexactly(length)
        except asyncio.IncompleteReadError:
            return StreamEnd("closed by the peer within a frame")
        except OSError as error:
            return StreamEnd(f"connection lost: {type(error).__name__}")
