"""Length-prefixed frames on one TCP connection."""

import asyncio
import struct

from jackdawcrank.relay.home_messages import MAX_FRAME_BYTES

LENGTH = struct.Struct(">I")


class FrameProtocol(asyncio.Protocol):
    """Splits a byte stream into frames that subclasses handle.

    Attributes:
      transport: The transport, or None before the connection is made.
      closed: Whether the connection is closed.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self.buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes and handle each complete frame.

        Aborts the connection if a frame is longer than `MAX_FRAME_BYTES`.

        Args:
          data: The received bytes.
        """
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
        """Handle a frame.

        Args:
          body: The frame without its length prefix.
        """
        raise NotImplementedError

    def send(self, body: bytes) -> None:
        """Write a frame to the transport without waiting.

        The frame is dropped if the connection is not open.

        Args:
          body: The frame without its length prefix.
        """
        if self.transport is not None and not self.closed:
            self.transport.write(LENGTH.pack(len(body)) + body)

    def unsent_bytes(self) -> int:
        """Return the number of bytes that wait to be sent."""
        if self.transport is None or self.closed:
            return 0
        return self.transport.get_write_buffer_size()

    def abort(self) -> None:
        """Close the connection immediately; unsent data is lost."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()
