"""Fuzz tests of commands, parameters and prepared statement texts."""

import math
import re
import struct

import hypothesis
import hypothesis.strategies as st
import pytest
from mysql_mimic.types import Capabilities, ColumnType

from jackdawcrank.front.binary_rows import binary_row, encoder_for
from jackdawcrank.front.execute_command import (
    Prepared,
    encode_sql,
    read_execute,
    read_query,
)
from jackdawcrank.front.parameters import (
    MalformedParameters,
    ParameterReader,
    ParameterType,
    quote,
)
from jackdawcrank.front.prepared_text import split_placeholders
from jackdawcrank_wire.messages import ColumnInfo

short = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)
ESCAPES = {
    "0": "\0",
    "n": "\n",
    "r": "\r",
    "Z": "\x1a",
    "b": "\b",
    "t": "\t",
}
NUMBER = re.compile(r"[+-]?\d+(\.\d+)?(e[+-]?\d+)?")
named_queries = st.builds(
    lambda count, nulls, types, rest: (
        bytes([count, 1, nulls, 1]) + types + rest
    ),
    st.integers(0, 3),
    st.integers(0, 255),
    st.lists(
        st.builds(
            lambda code, flag, name: bytes([code, flag, len(name)]) + name,
            st.integers(0, 255),
            st.integers(0, 255),
            st.binary(max_size=4),
        ),
        max_size=3,
    ).map(b"".join),
    st.binary(max_size=30),
)
capabilities = st.sampled_from(
    [Capabilities(0), Capabilities.CLIENT_QUERY_ATTRIBUTES]
)
type_codes = st.one_of(
    st.sampled_from([int(one) for one in ColumnType]), st.integers(0, 255)
)
sql_texts = st.text(
    alphabet=st.sampled_from(list("?'\"`\\/*-# \n;ab1\0é")), max_size=40
)
commands = st.one_of(
    st.binary(max_size=80),
    st.builds(
        lambda head, nulls, types, rest: head + nulls + b"\x01" + types + rest,
        st.binary(min_size=9, max_size=9),
        st.binary(min_size=1, max_size=1),
        st.binary(min_size=2, max_size=8),
        st.binary(max_size=40),
    ),
)
BINARY_TYPES = (
    ColumnType.TINY,
    ColumnType.LONGLONG,
    ColumnType.DOUBLE,
    ColumnType.DATETIME,
    ColumnType.TIME,
    ColumnType.VAR_STRING,
)


def parse_literal(text: str, start: int = 0) -> tuple[bytes, int]:
    """Parse a literal as MySQL does; return its value and end offset."""
    if text.startswith("x'", start):
        end = text.index("'", start + 2)
        return bytes.fromhex(text[start + 2 : end]), end + 1
    assert text[start] == "'"
    value = []
    place = start + 1
    while True:
        char = text[place]
        if char == "\\":
            follower = text[place + 1]
            value.append(ESCAPES.get(follower, follower))
            place += 2
        elif text.startswith("''", place):
            value.append("'")
            place += 2
        elif char == "'":
            return "".join(value).encode(), place + 1
        else:
            value.append(char)
            place += 1


@short
@hypothesis.given(
    data=st.one_of(st.binary(max_size=100), named_queries), agreed=capabilities
)
def test_any_query_is_read_or_malformed(
    data: bytes, agreed: Capabilities
) -> None:
    try:
        command = read_query(data, agreed)
    except MalformedParameters:
        return
    assert data.endswith(encode_sql(command.sql))


@short
@hypothesis.given(
    data=commands,
    sql=sql_texts,
    long_data=st.dictionaries(st.integers(0, 3), st.binary(max_size=8)),
    agreed=capabilities,
)
def test_any_execution_is_read_or_malformed(
    data: bytes, sql: str, long_data: dict[int, bytes], agreed: Capabilities
) -> None:
    kept = {index: bytearray(value) for index, value in long_data.items()}
    prepared = Prepared(split_placeholders(sql), long_data=kept)
    for _ in range(2):
        try:
            read_execute(data, prepared, agreed)
        except MalformedParameters:
            continue


@short
@hypothesis.given(
    data=st.binary(max_size=40), code=type_codes, unsigned=st.booleans()
)
def test_any_value_is_read_or_malformed(
    data: bytes, code: int, unsigned: bool
) -> None:
    reader = ParameterReader(data)
    try:
        literal = reader.literal(ParameterType(code, unsigned))
    except MalformedParameters:
        return
    assert reader.position <= len(data)
    if literal.startswith(("'", "x'")):
        assert parse_literal(literal)[1] == len(literal)
    else:
        assert literal == "NULL" or NUMBER.fullmatch(literal)


@short
@hypothesis.given(
    value=st.one_of(
        st.binary(max_size=30),
        st.text(alphabet=st.sampled_from(list("'\\\"\0\n\r\x1a%_é;- "))).map(
            str.encode
        ),
    ),
    code=type_codes,
)
def test_a_quoted_value_is_read_back(value: bytes, code: int) -> None:
    literal = quote(value, code)
    if not literal.startswith(("'", "x'")):
        assert literal.encode() == value
        return
    assert parse_literal(literal) == (value, len(literal))


@pytest.mark.parametrize("value", [math.inf, -math.inf, math.nan])
def test_a_float_without_literal_is_malformed(value: float) -> None:
    reader = ParameterReader(struct.pack("<d", value))
    with pytest.raises(MalformedParameters):
        reader.literal(ParameterType(ColumnType.DOUBLE, False))


@short
@hypothesis.given(
    values=st.lists(st.binary(max_size=12), min_size=1, max_size=4)
)
def test_a_value_does_not_reach_beyond_its_place(values: list[bytes]) -> None:
    places = " AND b = ".join("?" * len(values))
    text = split_placeholders(f"SELECT '?' FROM t /* ? */ WHERE a = {places}")
    assert text.parameter_count == len(values)
    filled = text.fill([quote(value) for value in values])
    place = len("SELECT '?' FROM t /* ? */ WHERE a = ")
    for value in values:
        read, place = parse_literal(filled, place)
        assert read == value
        place += len(" AND b = ")
    assert place == len(filled) + len(" AND b = ")


@short
@hypothesis.given(sql=sql_texts)
def test_a_text_is_kept_around_its_placeholders(sql: str) -> None:
    text = split_placeholders(sql)
    assert text.fill(["?"] * text.parameter_count) == sql


@short
@hypothesis.given(
    code=st.sampled_from(BINARY_TYPES), value=st.binary(max_size=30)
)
def test_any_server_value_is_encoded_or_malformed(
    code: ColumnType, value: bytes
) -> None:
    encoder = encoder_for(ColumnInfo("a", code, 63))
    try:
        row = binary_row((value, None), (encoder, encoder))
    except MalformedParameters:
        return
    assert row[0] == 0
    assert row[1] == 1 << 3
