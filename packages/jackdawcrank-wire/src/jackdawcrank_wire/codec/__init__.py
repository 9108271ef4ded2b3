"""Codecs for the messages between proxies."""

from jackdawcrank_wire.codec.codec import Codec
from jackdawcrank_wire.codec.json_codec import JsonCodec
from jackdawcrank_wire.codec.limits import MAX_FRAME_BYTES, MAX_LIST_LENGTH
from jackdawcrank_wire.codec.malformed import Malformed
from jackdawcrank_wire.codec.msgpack_codec import MsgpackCodec

__all__ = [
    "MAX_FRAME_BYTES",
    "MAX_LIST_LENGTH",
    "Codec",
    "JsonCodec",
    "Malformed",
    "MsgpackCodec",
]
