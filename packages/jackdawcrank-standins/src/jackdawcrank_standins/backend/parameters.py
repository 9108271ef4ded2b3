"""Reads the parameters of an executed prepared statement."""

import io
import struct

from mysql_mimic import types
from mysql_mimic.results import NullBitmap
from mysql_mimic.types import Capabilities, ColumnType

from jackdawcrank_standins.backend.errors import unknown_error
from jackdawcrank_standins.backend.literals import Value

UNSIGNED = 0x80
LAYOUTS = {
    ColumnType.TINY: "b",
    ColumnType.SHORT: "h",
    ColumnType.YEAR: "h",
    ColumnType.INT24: "i",
    ColumnType.LONG: "i",
    ColumnType.LONGLONG: "q",
    ColumnType.FLOAT: "f",
    ColumnType.DOUBLE: "d",
}
TIMES = {ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP}
HEADER_BYTES = 9
BINARY_TYPES = {
    ColumnType.TINY_BLOB,
    ColumnType.BLOB,
    ColumnType.MEDIUM_BLOB,
    ColumnType.LONG_BLOB,
}


def read_parameters(
    data: bytes,
    count: int,
    capabilities: Capabilities,
    long_data: dict[int, bytearray],
) -> tuple[Value, ...]:
    """Return the values of a COM_STMT_EXECUTE.

    Args:
      data: The command's body, from the statement's number on.
      count: How many parameters the statement has.
      capabilities: What client and server agreed on.
      long_data: Values that were sent ahead, by place.

    Raises:
      Failure: The types of the parameters are missing.
    """
    reader = io.BytesIO(data)
    reader.seek(HEADER_BYTES)
    if count == 0:
        return ()
    named = Capabilities.CLIENT_QUERY_ATTRIBUTES in capabilities
    total = types.read_uint_len(reader) if named else count
    nulls = NullBitmap.from_buffer(reader, total)
    if not types.read_uint_1(reader):
        raise unknown_error("the parameters' types must be sent")
    kinds = [read_kind(reader, named) for _ in range(total)]
    values: list[Value] = []
    for place, (kind, unsigned) in enumerate(kinds):
        if place in long_data:
            values.append(bytes(long_data[place]))
        elif nulls.is_flipped(place):
            values.append(None)
        else:
            values.append(read_value(reader, kind, unsigned))
    return tuple(values[:count])


def read_kind(reader: io.BytesIO, named: bool) -> tuple[ColumnType, bool]:
    """Return a parameter's type and whether it is unsigned."""
    kind = ColumnType(types.read_uint_1(reader))
    unsigned = bool(types.read_uint_1(reader) & UNSIGNED)
    if named:
        types.read_str_len(reader)
    return kind, unsigned


def read_value(reader: io.BytesIO, kind: ColumnType, unsigned: bool) -> Value:
    """Return one parameter's value."""
    layout = LAYOUTS.get(kind)
    if layout is not None:
        if unsigned and layout in "bhiq":
            layout = layout.upper()
        structure = struct.Struct("<" + layout)
        value: int | float = structure.unpack(reader.read(structure.size))[0]
        return value
    if kind in TIMES:
        return read_datetime(reader)
    if kind == ColumnType.TIME:
        return read_time(reader)
    if kind == ColumnType.NULL:
        return None
    data = bytes(types.read_str_len(reader))
    if kind in BINARY_TYPES:
        return data
    try:
        return data.decode()
    except UnicodeDecodeError:
        return data


def read_datetime(reader: io.BytesIO) -> str:
    """Return a date or a time of day in its written form."""
    length = types.read_uint_1(reader)
    data = reader.read(length).ljust(11, b"\0")
    year, month, day, hour, minute, second, micros = struct.unpack(
        "<HBBBBBI", data
    )
    text = f"{year:04d}-{month:02d}-{day:02d}"
    if length > 4:
        text += f" {hour:02d}:{minute:02d}:{second:02d}"
    return text + (f".{micros:06d}" if micros else "")


def read_time(reader: io.BytesIO) -> str:
    """Return a duration in its written form."""
    length = types.read_uint_1(reader)
    data = reader.read(length).ljust(12, b"\0")
    negative, days, hour, minute, second, micros = struct.unpack(
        "<BIBBBI", data
    )
    sign = "-" if negative else ""
    text = f"{sign}{days * 24 + hour:02d}:{minute:02d}:{second:02d}"
    return text + (f".{micros:06d}" if micros else "")
