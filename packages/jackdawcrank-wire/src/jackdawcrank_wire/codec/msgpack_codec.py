"""The codec that proxies use to communicate with each other."""

import msgpack

from jackdawcrank_wire.codec.converter import build_converter
from jackdawcrank_wire.codec.envelope import pack_envelope, unpack_envelope
from jackdawcrank_wire.codec.limits import MAX_FRAME_BYTES, MAX_LIST_LENGTH
from jackdawcrank_wire.codec.malformed import Malformed
from jackdawcrank_wire.messages import Message


class MsgpackCodec:
    """Encodes messages as msgpack arrays."""

    def __init__(self) -> None:
        self.converter = build_converter()

    def encode(self, message: Message) -> bytes:
        """Return a message encoded as msgpack.

        Args:
          message: The message to encode.
        """
        envelope = pack_envelope(message, self.converter)
        return msgpack.packb(envelope)  # type: ignore[no-any-return]

    def decode(self, data: bytes) -> Message | Malformed:
        """Return the decoded message, or `Malformed` if decoding fails.

        Args:
          data: The bytes received from a peer.
        """
        if len(data) > MAX_FRAME_BYTES:
            return Malformed(f"{len(data)} bytes exceed the frame size limit")
        try:
            envelope = msgpack.unpackb(
                data,
                max_array_len=MAX_LIST_LENGTH,
                max_map_len=0,
                max_ext_len=0,
            )
        except (ValueError, TypeError, RecursionError) as error:
            return Malformed(f"not msgpack: {type(error).__name__}")
        return unpack_envelope(envelope, self.converter)
