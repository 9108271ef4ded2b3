"""Encoding and writing of messages on one connection."""

from jackdawcrank_wire.codec import Codec
from jackdawcrank_wire.framing import FrameWriter
from jackdawcrank_wire.messages import Message


class MessageWriter:
    """Encodes messages and writes them to a connection."""

    def __init__(self, writer: FrameWriter, codec: Codec) -> None:
        self.writer = writer
        self.codec = codec

    async def send(self, message: Message) -> bool:
        """Send a message once the write buffer has room.

        Args:
          message: The message.

        Returns:
          False if nothing was written to the connection.
        """
        if not await self.writer.drain():
            return False
        return self.post(message)

    def post(self, message: Message) -> bool:
        """Send a short message without waiting for the write buffer.

        Args:
          message: The message.

        Returns:
          False if nothing was written to the connection.
        """
        body = self.codec.encode(message)
        return self.writer.fits(body) and self.writer.write(body)
