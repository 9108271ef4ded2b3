"""The interface of a message codec."""

import typing

from jackdawcrank_wire.codec.malformed import Malformed
from jackdawcrank_wire.messages import Message


class Codec(typing.Protocol):
    """Turns messages into bytes and back."""

    def encode(self, message: Message) -> bytes:
        """Return a message as bytes.

        Args:
          message: Any message.
        """

    def decode(self, data: bytes) -> Message | Malformed:
        """Return the message that bytes hold; never raises on any bytes.

        Args:
          data: What a peer sent.
        """
