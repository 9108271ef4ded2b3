"""Tests that apply to every codec."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jackdawcrank_wire.codec import MAX_FRAME_BYTES, Codec, Malformed
from jackdawcrank_wire.messages import MESSAGE_TYPES, Message

st.register_type_strategy(int, st.integers(-(2**63), 2**64 - 1))
st.register_type_strategy(float, st.floats(allow_nan=False))

MESSAGES = st.one_of([st.from_type(cls) for cls in MESSAGE_TYPES.values()])


@pytest.mark.parametrize("cls", MESSAGE_TYPES.values())
@settings(max_examples=30)
@given(data=st.data())
def test_every_message_survives_a_round_trip(
    codec: Codec, cls: type[Message], data: st.DataObject
) -> None:
    message = data.draw(st.from_type(cls))
    assert codec.decode(codec.encode(message)) == message


@given(garbage=st.binary(max_size=200))
def test_garbage_is_malformed_or_a_message(
    codec: Codec, garbage: bytes
) -> None:
    decoded = codec.decode(garbage)
    assert attrs.has(type(decoded)) or isinstance(decoded, Malformed)


@given(message=MESSAGES, data=st.data())
def test_a_damaged_message_never_raises(
    codec: Codec, message: Message, data: st.DataObject
) -> None:
    body = bytearray(codec.encode(message))
    index = data.draw(st.integers(0, len(body) - 1))
    body[index] = data.draw(st.integers(0, 255))
    length = data.draw(st.integers(0, len(body)))
    codec.decode(bytes(body))
    codec.decode(bytes(body[:length]))


def test_an_oversized_body_is_malformed(codec: Codec) -> None:
    assert isinstance(codec.decode(b" " * (MAX_FRAME_BYTES + 1)), Malformed)


@pytest.mark.parametrize("garbage", [b"", b"[" * 5000, b"\x91" * 5000])
def test_deep_nesting_is_malformed(codec: Codec, garbage: bytes) -> None:
    assert isinstance(codec.decode(garbage), Malformed)
