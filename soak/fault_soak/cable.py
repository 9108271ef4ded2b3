"""A loopback connection that can be delayed, reset, silenced or cut one way."""

import asyncio
import enum


class Fault(enum.Enum):
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


class Cable:
    """Forwards connections to a port on this machine.

    Attributes:
      port: Where it listens.
      target: Where it forwards to.
      fault: What is wrong with it now.
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self.port = 0
        self.fault = Fault.NONE
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begin to forward."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop forwarding."""
        if self.server:
            self.server.close()
        self.reset()

    def set_fault(self, fault: Fault) -> None:
        """Change what is wrong with the cable.

        Args:
          fault: What is wrong from now on.
        """
        self.fault = fault
        if fault is Fault.REFUSE:
            self.reset()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection."""
        if self.fault is Fault.REFUSE:
            writer.transport.abort()
            return
        try:
            onward = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        both = {writer, onward[1]}
        self.writers |= both
        try:
            await asyncio.gather(
                self.pump(reader, onward[1], (Fault.SILENT,)),
                self.pump(onward[0], writer, (Fault.SILENT, Fault.NO_ANSWERS)),
            )
        except OSError:
            # Either end is gone; the other one sees a reset.
            return
        finally:
            self.writers -= both
            for one in both:
                one.transport.abort()

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        swallowed_by: tuple[Fault, ...],
    ) -> None:
        """Pass bytes one way until that end closes."""
        swallowed = False
        while data := await reader.read(CHUNK_BYTES):
            if self.fault is Fault.DELAY:
                await asyncio.sleep(DELAY_SECONDS)
            # Once bytes are missing, later ones would be garbled.
            swallowed = swallowed or self.fault in swallowed_by
            if not swallowed:
                writer.write(data)
                await writer.drain()
        if not swallowed:
            writer.transport.abort()
