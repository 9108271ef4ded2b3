"""Writer of length-prefixed frames."""

import asyncio
import contextlib

from jackdawcrank_wire.codec import MAX_FRAME_BYTES
from jackdawcrank_wire.framing.frame_reader import LENGTH

MAX_BUFFER_BYTES = 1024 * 1024


class FrameWriter:
    """Writes frames and applies backpressure through a bounded buffer."""

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
        """Return whether a body is not empty and within the frame size limit.

        Args:
          body: The body of the frame.
        """
        return 0 < len(body) <= self.max_frame_bytes

    def write(self, body: bytes) -> bool:
        """Append a frame to the send buffer without waiting.

        Args:
          body: The body of the frame, within the frame size limit.

        Returns:
          False if the connection is closing and nothing was written.
        """
        if self.writer.is_closing():
            return False
        self.writer.write(LENGTH.pack(len(body)) + body)
        return True

    async def drain(self) -> bool:
        """Wait while writing is paused because the send buffer is full.

        Writing is paused when the buffer exceeds its high-water mark and
        resumes when it has drained to its low-water mark.

        Returns:
          False if the connection is closing or lost.
        """
        try:
            await self.writer.drain()
        except OSError:
            return False
        return not self.writer.is_closing()

    async def close(self) -> None:
        """Flush the send buffer and close the connection."""
        self.writer.close()
        with contextlib.suppress(OSError):
            await self.writer.wait_closed()

    def abort(self) -> None:
        """Close the connection at once and discard the send buffer."""
        self.writer.transport.abort()
