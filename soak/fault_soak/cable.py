"""A loopback connection that can be delayed, reset, silenced or cut one way."""

import asyncio
import enum


class LinkFault(enum.Enum):
    """What is wrong with a cable."""

    NONE = "none"
    DELAY = "delay"
    SILENT = "silent"
    """Takes bytes and passes none on, either way."""
    NO_ANSWERS = "no_answers"
    """Passes requests on, and no answers."""
    REFUSE = "refuse"
    """Ends every connection at once."""


DELAY_SECONDS = 0.15
CHUNK_BYTES = 65_536


class FaultyLink:
    """Forwards connections to a port on this machine.

    Attributes:
      port: Where it listens.
      target: Where it forwards to.
      fault: What is wrong with it now.
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self.port = 0
        self.fault = LinkFault.NONE
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begin to forward."""
        self.server = await asyncio.start_server(
            self.handle_connection, "127.0.0.1", 0
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop forwarding."""
        if self.server:
            self.server.close()
        self.reset()

    def set_fault(self, fault: LinkFault) -> None:
        """Change what is wrong with the cable.

        Args:
          fault: What is wrong from now on.
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
        """Forward one connection."""
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
            # Either end is gone; the other one sees a reset.
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
        """Pass bytes one way until that end closes."""
        dropped = False
        while data := await reader.read(CHUNK_BYTES):
            if self.fault is LinkFault.DELAY:
                await asyncio.sleep(DELAY_SECONDS)
            # Once bytes are missing, later ones would be garbled.
            dropped = dropped or self.fault in dropped_by
            if not dropped:
                writer.write(data)
                await writer.drain()
        if not dropped:
            writer.transport.abort()
