"""Prepares rows for the protocol."""

import datetime
import struct
from collections.abc import Callable, Sequence
from typing import Any

from mysql_mimic.results import NullBitmap
from mysql_mimic.types import ColumnType, str_len

from jackdawcrank_standins.backend import columns
from jackdawcrank_standins.backend.columns import ColumnKind
from jackdawcrank_standins.backend.functions import parse_datetime

BINARY_OFFSET = 2


def final_kinds(
    names: Sequence[str],
    known: Sequence[ColumnKind | None],
    rows: list[tuple[Any, ...]],
) -> tuple[ColumnKind, ...]:
    """Return the kind of each column, by its values where need be.

    Args:
      names: The columns' names.
      known: The kinds known from declarations, or nothing.
      rows: The rows.
    """
    if len(known) != len(names):
        known = (None,) * len(names)
    return tuple(
        kind if kind is not None else inferred_kind(place, rows)
        for place, kind in enumerate(known)
    )


def inferred_kind(place: int, rows: list[tuple[Any, ...]]) -> ColumnKind:
    """Return the kind of the first value of a column that is not NULL."""
    for row in rows:
        if row[place] is not None:
            return columns.kind_of_value(row[place])
    return columns.NULL


def format_decimals(
    kinds: tuple[ColumnKind, ...], rows: list[tuple[Any, ...]]
) -> list[tuple[Any, ...]]:
    """Return the rows with exact numbers in their written form."""
    scales = {
        place: kind.decimals
        for place, kind in enumerate(kinds)
        if kind.type == ColumnType.NEWDECIMAL
    }
    if not scales:
        return rows
    return [
        tuple(
            f"{value:.{scales[place]}f}"
            if place in scales and isinstance(value, (int, float))
            else value
            for place, value in enumerate(row)
        )
        for row in rows
    ]


def text_value(value: Any) -> bytes:
    """Return a value as a length-prefixed text."""
    if isinstance(value, bytes):
        return bytes(str_len(value))
    return bytes(str_len(str(value).encode()))


def packed(layout: str, convert: Callable[[Any], Any]) -> Callable[..., bytes]:
    """Return an encoder for numbers of a fixed width."""
    structure = struct.Struct(layout)
    return lambda value: structure.pack(convert(value))


def datetime_value(value: Any) -> bytes:
    """Return a date or time of day in the binary form."""
    time = parse_datetime(value)
    if time is None:
        return b"\0"
    day = struct.pack("<HBB", time.year, time.month, time.day)
    clock = struct.pack("<BBB", time.hour, time.minute, time.second)
    if time.microsecond:
        tail = struct.pack("<I", time.microsecond)
        return b"\x0b" + day + clock + tail
    if time.time() == datetime.time():
        return b"\x04" + day
    return b"\x07" + day + clock


def time_value(value: Any) -> bytes:
    """Return a duration in the binary form."""
    negative = str(value).startswith("-")
    parts = [int(float(part)) for part in str(value).lstrip("-").split(":")]
    hours, minutes, seconds = (*parts, 0, 0)[:3]
    days, hours = divmod(hours, 24)
    return b"\x08" + struct.pack(
        "<BIBBB", negative, days, hours, minutes, seconds
    )


BINARY: dict[ColumnType, Callable[[Any], bytes]] = {
    ColumnType.TINY: packed("<b", int),
    ColumnType.SHORT: packed("<h", int),
    ColumnType.YEAR: packed("<h", int),
    ColumnType.INT24: packed("<i", int),
    ColumnType.LONG: packed("<i", int),
    ColumnType.LONGLONG: packed("<q", int),
    ColumnType.FLOAT: packed("<f", float),
    ColumnType.DOUBLE: packed("<d", float),
    ColumnType.DATETIME: datetime_value,
    ColumnType.TIMESTAMP: datetime_value,
    ColumnType.DATE: datetime_value,
    ColumnType.TIME: time_value,
}


def binary_row(kinds: tuple[ColumnKind, ...], row: tuple[Any, ...]) -> bytes:
    """Return a row as an executed prepared statement sends it."""
    bitmap = NullBitmap.new(len(row), BINARY_OFFSET)
    parts = []
    for place, value in enumerate(row):
        if value is None:
            bitmap.flip(place)
        else:
            encode = BINARY.get(kinds[place].type, text_value)
            parts.append(encode(value))
    return b"".join([b"\0", bytes(bitmap), *parts])
