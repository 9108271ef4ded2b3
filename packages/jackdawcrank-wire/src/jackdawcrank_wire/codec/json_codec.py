"""A human-readable codec for debugging."""

import json

from jackdawcrank_wire.codec.converter import build_converter
from jackdawcrank_wire.codec.envelope import pack_envelope, unpack_envelope
from jackdawcrank_wire.codec.limits import MAX_FRAME_BYTES
from jackdawcrank_wire.codec.malformed import Malformed
from jackdawcrank_wire.messages import Message


class JsonCodec:
    """Encodes messages as JSON, with bytes in base64."""

    def __init__(self) -> None:
        self.converter = build_converter(bytes_as_text=True)

    def encode(self, message: Message) -> bytes:
        """Return a message encoded as JSON.

        Args:
          message: The message to encode.
        """
        envelope = pack_envelope(message, self.converter)
        return json.dumps(envelope, separators=(",", ":")).encode()

    def decode(self, data: bytes) -> Message | Malformed:
        """Return the decoded message, or `Malformed` if decoding fails.

        Args:
          data: The bytes received from a peer.
        """
        if len(data) > MAX_FRAME_BYTES:
            return Malformed(f"{len(data)} bytes exceed the frame size limit")
        try:
            envelope = json.loads(data)
        except (ValueError, RecursionError) as error:
            return Malformed(f"not JSON: {type(error).__name__}")
        return unpack_envelope(envelope, self.converter)
