"""Converts result values from the text to the binary protocol."""

import re
import struct
from collections.abc import Callable, Sequence

from mysql_mimic.types import ColumnType, str_len

from jackdawcrank.front.parameters import MalformedParameters
from jackdawcrank_wire.messages import ColumnInfo

UNSIGNED_FLAG = 32
NULL_BITMAP_OFFSET = 2
_DATE_TIME = re.compile(
    rb"(\d+)-(\d+)-(\d+)(?:[ T](\d+):(\d+):(\d+)(?:\.(\d{1,6}))?)?"
)
_TIME = re.compile(rb"(-?)(\d+):(\d+):(\d+)(?:\.(\d{1,6}))?")
_INTEGER_FORMATS = {
    ColumnType.TINY: "b",
    ColumnType.SHORT: "h",
    ColumnType.YEAR: "h",
    ColumnType.INT24: "i",
    ColumnType.LONG: "i",
    ColumnType.LONGLONG: "q",
}
_FLOAT_FORMATS = {ColumnType.FLOAT: "f", ColumnType.DOUBLE: "d"}
_DATE_TYPES = frozenset(
    {ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP}
)

Encoder = Callable[[bytes], bytes]


def binary_row(
    row: Sequence[bytes | None], encoders: Sequence[Encoder]
) -> bytes:
    """Return one row packet of the binary protocol.

    Args:
      row: The values in text protocol form; None is NULL.
      encoders: One encoder per column.

    Raises:
      MalformedParameters: A value does not fit its column's type.
    """
    bitmap = bytearray((len(row) + 7 + NULL_BITMAP_OFFSET) // 8)
    parts = []
    for index, value in enumerate(row):
        if value is None:
            bit_index = index + NULL_BITMAP_OFFSET
            bitmap[bit_index // 8] |= 1 << bit_index % 8
        else:
            parts.append(_encode(encoders[index], value))
    return b"\x00" + bytes(bitmap) + b"".join(parts)


def _encode(encoder: Encoder, value: bytes) -> bytes:
    try:
        return encoder(value)
    except (ValueError, OverflowError, struct.error) as error:
        raise MalformedParameters(
            f"invalid column value: {value[:20]!r}"
        ) from error


def encoder_for(column: ColumnInfo) -> Encoder:
    """Return the function that encodes a column's values.

    Args:
      column: The column.
    """
    code = column.type_code
    if code in _INTEGER_FORMATS:
        return _integer_encoder(column)
    if code in _FLOAT_FORMATS:
        packer = struct.Struct("<" + _FLOAT_FORMATS[ColumnType(code)])
        return lambda value: packer.pack(float(value))
    if code in _DATE_TYPES:
        return _encode_date_time
    if code == ColumnType.TIME:
        return _encode_time
    return str_len


def _integer_encoder(column: ColumnInfo) -> Encoder:
    format_char = _INTEGER_FORMATS[ColumnType(column.type_code)]
    if column.flags & UNSIGNED_FLAG:
        format_char = format_char.upper()
    packer = struct.Struct("<" + format_char)
    return lambda value: packer.pack(int(value))


def _encode_date_time(value: bytes) -> bytes:
    match = _DATE_TIME.fullmatch(value)
    if match is None:
        return b"\x00"
    numbers = [int(part or 0) for part in match.groups()[:6]]
    micros = _microseconds(match[7])
    if micros:
        return b"\x0b" + struct.pack("<HBBBBBI", *numbers, micros)
    if any(numbers[3:]):
        return b"\x07" + struct.pack("<HBBBBB", *numbers)
    if any(numbers):
        return b"\x04" + struct.pack("<HBB", *numbers[:3])
    return b"\x00"


def _encode_time(value: bytes) -> bytes:
    match = _TIME.fullmatch(value)
    if match is None:
        return b"\x00"
    hours, minutes, seconds = (int(match[i]) for i in (2, 3, 4))
    micros = _microseconds(match[5])
    negative = int(match[1] == b"-")
    days, hours = divmod(hours, 24)
    fields = (negative, days, hours, minutes, seconds)
    if micros:
        return b"\x0c" + struct.pack("<BIBBBI", *fields, micros)
    if any(fields[1:]):
        return b"\x08" + struct.pack("<BIBBB", *fields)
    return b"\x00"


def _microseconds(digits: bytes | None) -> int:
    return int(digits.ljust(6, b"0")) if digits else 0
