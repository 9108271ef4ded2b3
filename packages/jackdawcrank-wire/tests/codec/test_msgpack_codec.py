"""Tests of the msgpack codec, including compatibility between versions."""

import typing

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawcrank_wire.codec import Malformed, MsgpackCodec
from jackdawcrank_wire.messages import (
    MESSAGE_TYPES,
    Answer,
    Execute,
    Hello,
    Ping,
    ResultOk,
    StatementRequest,
)

CODEC = MsgpackCodec()
NESTED = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=5)
    | st.binary(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=3), inner, max_size=2)
    ),
)


def pack(*envelope: typing.Any) -> bytes:
    return msgpack.packb(list(envelope))


@given(number=st.integers(0, len(MESSAGE_TYPES) + 2), fields=NESTED)
def test_fields_of_any_shape_never_raise(
    number: int, fields: typing.Any
) -> None:
    CODEC.decode(pack(number, 1, fields))


def test_unknown_trailing_fields_are_ignored() -> None:
    assert CODEC.decode(pack(4, 2, [7, "new", [1]], "more")) == Ping(7)


def test_missing_fields_take_their_defaults() -> None:
    assert CODEC.decode(pack(3, 1, ["vm-1", "b"])) == Hello("vm-1", "b")
    request = StatementRequest("soil", b"SELECT 1")
    short = pack(6, 1, [3, ["soil", b"SELECT 1"]])
    assert CODEC.decode(short) == Execute(3, request)


def test_a_missing_field_without_default_is_malformed() -> None:
    assert isinstance(CODEC.decode(pack(3, 1, ["vm-1"])), Malformed)


def test_an_unknown_type_keeps_its_request_number() -> None:
    decoded = CODEC.decode(pack(999, 1, [42, "x"]))
    assert isinstance(decoded, Malformed)
    assert (decoded.unknown_type, decoded.request_number) == (999, 42)


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param(["7"], id="string instead of a number"),
        pytest.param([True], id="boolean instead of a number"),
        pytest.param([7.0], id="float instead of an integer"),
        pytest.param([None], id="null instead of a number"),
    ],
)
def test_a_field_of_another_type_is_malformed(
    fields: list[typing.Any],
) -> None:
    assert isinstance(CODEC.decode(pack(4, 1, fields)), Malformed)


@pytest.mark.parametrize(
    "result", [[4, []], [2], [[], []], [2, {}], 2, [1, [[], [["text"]]]]]
)
def test_an_invalid_result_is_malformed(result: typing.Any) -> None:
    assert isinstance(CODEC.decode(pack(7, 1, [1, result])), Malformed)


def test_a_result_carries_its_type_number() -> None:
    body = CODEC.encode(Answer(5, ResultOk(affected_rows=2)))
    assert msgpack.unpackb(body)[2][:2] == [
        5,
        [2, [2, 0, None, 0, "", 0, "", ""]],
    ]
