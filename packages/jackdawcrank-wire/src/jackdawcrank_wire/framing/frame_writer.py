"""Writing of length-prefixed frames."""

import asyncio
import contextlib

from jackdawcrank_wire.codec import MAX_FRAME_BYTES
from jackdawcrank_wire.framing.frame_reader import LENGTH

MAX_BUFFER_BYTES = 1024 * 1024


class FrameWriter:
    """Writes frames and bounds what waits to be sent."""

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        max_frame_bytes: int = MAX_FRAME_BYTES,
        max_buffer_bytes: int = MAX_BUFFER_BYTES,
    ) -> None:
        self.writer = writer
        self.max_frame_bytes = max_frame_bytes
        writer.transport.set_write_buffer_limits(high=max_buffer_bytes)

    def fits(self, body: bytes) -> bool:
        """Return whether a body is within the bound of one frame.

        Args:
          body: The frame's body.
        """
        return 0 < len(body) <= self.max_frame_bytes

    def write(self, body: bytes) -> bool:
        """Hand a frame to the connection without waiting.

        Args:
          body: The frame's body, within the bound of one frame.

        Returns:
          False if the connection is closing and took no byte.
        """
        if self.writer.is_closing():
            return False
        self.writer.write(LENGTH.pack(len(body)) + body)
        return True

    async def drain(self) -> bool:
        """Wait until the buffer is below its bound.

        Returns:
          False if the connection is closing or lost.
        """
        try:
            await self.writer.drain()
        except OSError:
            return False
        return not self.writer.is_closing()

    async def close(self) -> None:
        """Close the connection once the buffer is sent."""
        self.writer.close()
        with contextlib.suppress(OSError):
            await self.writer.wait_closed()

    def abort(self) -> None:
        """Close the connection at once and drop the buffer."""
        self.writer.transport.abort()
