"""Sending of messages on one stream."""

from jackdawcrank_wire.codec import Codec
from jackdawcrank_wire.framing import FrameWriter
from jackdawcrank_wire.messages import Message


class MessageWriter:
    """Encodes messages and hands them to a connection."""

    def __init__(self, writer: FrameWriter, codec: Codec) -> None:
        self.writer = writer
        self.codec = codec

    async def send(self, message: Message) -> bool:
        """Send a message when the connection has room for it.

        Args:
          message: The message.

        Returns:
          False if no byte was handed to the connection.
        """
        if not await self.writer.drain():
            return False
        return self.post(message)

    def post(self, message: Message) -> bool:
        """Send a short message without waiting for room.

        Args:
          message: The message.

        Returns:
          False if no byte was handed to the connection.
        """
        body = self.codec.encode(message)
        return self.writer.fits(body) and self.writer.write(body)
