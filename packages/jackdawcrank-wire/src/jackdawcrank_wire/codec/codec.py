"""The interface of a message codec."""

import typing

from jackdawcrank_wire.codec.malformed import Malformed
from jackdawcrank_wire.messages import Message


class Codec(typing.Protocol):
    """Encodes messages to bytes and decodes them."""

    def encode(self, message: Message) -> bytes:
        """Return the encoded form of a message.

        Args:
          message: The message to encode.
        """

    def decode(self, data: bytes) -> Message | Malformed:
        """Return the decoded message, or `Malformed` if decoding fails.

        Never raises, whatever the input.

        Args:
          data: The bytes received from a peer.
        """
