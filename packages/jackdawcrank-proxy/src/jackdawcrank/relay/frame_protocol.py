"""Length-prefixed frames over one connection."""

import asyncio
import struct

from jackdawcrank.relay.home_messages import MAX_FRAME_BYTES

LENGTH = struct.Struct(">I")


class FrameProtocol(asyncio.Protocol):
    """Splits a stream into frames; subclasses take them in.

    Attributes:
      transport: The connection, once it is made.
      closed: Whether it has ended.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self.buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Take in bytes; hand over the frames that they complete."""
        self.buffer += data
        while len(self.buffer) >= LENGTH.size and not self.closed:
            (length,) = LENGTH.unpack_from(self.buffer)
            if length > MAX_FRAME_BYTES:
                self.abort()
                return
            end = LENGTH.size + length
            if len(self.buffer) < end:
                return
            body = bytes(self.buffer[LENGTH.size : end])
            del self.buffer[:end]
            self.frame_received(body)

    def frame_received(self, body: bytes) -> None:
        """Take in a frame.

        Args:
          body: Its body.
        """
        raise NotImplementedError

    def send(self, body: bytes) -> None:
        """Send a frame without waiting.

        Args:
          body: Its body.
        """
        if self.transport is not None and not self.closed:
            self.transport.write(LENGTH.pack(len(body)) + body)

    def abort(self) -> None:
        """End the connection at once."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()
