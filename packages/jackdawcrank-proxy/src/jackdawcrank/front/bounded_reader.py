"""A stream reader that limits how much data a caller can buffer."""

import asyncio
from collections.abc import Callable

HEADER_BYTES = 4
LENGTH_MASK = 0x00FFFFFF
MAX_PACKET_BYTES = 0xFFFFFF


class StatementTooLarge(Exception):
    """A caller announced a command above the size limit."""


class BoundedReader(asyncio.StreamReader):
    """Reads MySQL packets with a size limit and a packet timeout.

    Attributes:
      max_bytes: The maximum size of a command, in bytes.
      packet_timeout_seconds: How long the rest of a started packet may take
        to arrive, in seconds.
      on_eof: Called when the caller closes its side of the connection.
    """

    def __init__(self, max_bytes: int, packet_timeout_seconds: float) -> None:
        super().__init__()
        self.max_bytes = max_bytes
        self.packet_timeout_seconds = packet_timeout_seconds
        self.command_bytes = 0
        self.on_eof: Callable[[], None] = lambda: None

    def feed_eof(self) -> None:
        """Mark the end of the stream and call `on_eof`."""
        super().feed_eof()
        self.on_eof()

    async def read(self, n: int = -1) -> bytes:
        """Return a packet header, or no bytes at the end of the stream.

        Args:
          n: The number of bytes; four for a packet header.

        Raises:
          StatementTooLarge: The command exceeds `max_bytes`.
        """
        header = await super().read(n)
        if n != HEADER_BYTES or not header:
            return header
        if len(header) < HEADER_BYTES:
            rest = HEADER_BYTES - len(header)
            header += await self.readexactly(rest)
        self._check_command_size(int.from_bytes(header, "little") & LENGTH_MASK)
        return header

    async def readexactly(self, n: int) -> bytes:
        """Return the next bytes, waiting at most `packet_timeout_seconds`.

        Args:
          n: The number of bytes.

        Raises:
          TimeoutError: The bytes did not arrive in time.
        """
        if len(self._buffer) >= n:  # type: ignore[attr-defined]
            return await super().readexactly(n)
        async with asyncio.timeout(self.packet_timeout_seconds):
            return await super().readexactly(n)

    def _check_command_size(self, length: int) -> None:
        self.command_bytes += length
        if self.command_bytes > self.max_bytes:
            raise StatementTooLarge(f"longer than {self.max_bytes} bytes")
        if length < MAX_PACKET_BYTES:
            self.command_bytes = 0
