"""TCP forwarder on loopback that injects network faults."""

import asyncio
import enum


class LinkFault(enum.Enum):
    """A network fault that a link can simulate."""

    NONE = "none"
    DELAY = "delay"
    SILENT = "silent"
    """Accepts bytes in both directions but forwards none."""
    NO_ANSWERS = "no_answers"
    """Forwards requests but drops responses."""
    REFUSE = "refuse"
    """Resets every open and new connection immediately."""


DELAY_SECONDS = 0.15
CHUNK_BYTES = 65_536


class FaultyLink:
    """Forwards TCP connections to a loopback port, with optional faults.

    Attributes:
      port: Listening port; 0 until started.
      target: Port that connections are forwarded to.
      fault: Currently simulated fault.
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self.port = 0
        self.fault = LinkFault.NONE
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening and forwarding."""
        self.server = await asyncio.start_server(
            self.handle_connection, "127.0.0.1", 0
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and reset all open connections."""
        if self.server:
            self.server.close()
        self.reset()

    def set_fault(self, fault: LinkFault) -> None:
        """Set the simulated fault.

        Args:
          fault: Fault to simulate from now on; `REFUSE` also resets all open
            connections.
        """
        self.fault = fault
        if fault is LinkFault.REFUSE:
            self.reset()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions until it closes."""
        if self.fault is LinkFault.REFUSE:
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        connection_writers = {writer, upstream[1]}
        self.writers |= connection_writers
        try:
            await asyncio.gather(
                self.relay_bytes(reader, upstream[1], (LinkFault.SILENT,)),
                self.relay_bytes(
                    upstream[0],
                    writer,
                    (LinkFault.SILENT, LinkFault.NO_ANSWERS),
                ),
            )
        except OSError:
            # One end failed; the `finally` block resets the other one.
            return
        finally:
            self.writers -= connection_writers
            for open_writer in connection_writers:
                open_writer.transport.abort()

    async def relay_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dropped_by: tuple[LinkFault, ...],
    ) -> None:
        """Relay bytes in one direction until the sender closes.

        Args:
          reader: Connection to read from.
          writer: Connection to write to.
          dropped_by: Faults that drop bytes in this direction.
        """
        dropped = False
        while data := await reader.read(CHUNK_BYTES):
            if self.fault is LinkFault.DELAY:
                await asyncio.sleep(DELAY_SECONDS)
            # After a gap in the stream, later bytes would arrive as corrupt
            # messages, so everything that follows is dropped too.
            dropped = dropped or self.fault in dropped_by
            if not dropped:
                writer.write(data)
                await writer.drain()
        if not dropped:
            writer.transport.abort()
