"""A readable codec for debugging."""

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
        """Return a message as JSON.

        Args:
          message: Any message.
        """
        envelope = pack_envelope(message, self.converter)
        return json.dumps(envelope, separators=(",", ":")).encode()

    def decode(self, data: bytes) -> Message | Malformed:
        """Return the message that JSON bytes hold.

        Args:
          data: What a peer sent.
        """
        if len(data) > MAX_FRAME_BYTES:
            return Malformed(f"{len(data)} bytes are more than a frame holds")
        try:
            envelope = json.loads(data)
        except (ValueError, RecursionError) as error:
            return Malformed(f"not JSON: {type(error).__name__}")
        return unpack_envelope(envelope, self.converter)
