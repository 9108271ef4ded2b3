"""Decodes binary protocol parameters into SQL literals."""

import math
import re
import struct

import attrs
from mysql_mimic.types import ColumnType

MAX_PARAMETERS = 65_535
UNSIGNED = 0x80
_NUMBER = re.compile(rb"[+-]?\d+(?:\.\d+)?")
_INTEGERS = {
    ColumnType.TINY: "b",
    ColumnType.SHORT: "h",
    ColumnType.YEAR: "h",
    ColumnType.INT24: "i",
    ColumnType.LONG: "i",
    ColumnType.LONGLONG: "q",
}
_FLOATS = {ColumnType.FLOAT: "<f", ColumnType.DOUBLE: "<d"}
_DATES = frozenset({ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP})
_DECIMALS = frozenset({ColumnType.DECIMAL, ColumnType.NEWDECIMAL})
_BLOBS = frozenset(
    {
        ColumnType.TINY_BLOB,
        ColumnType.BLOB,
        ColumnType.MEDIUM_BLOB,
        ColumnType.LONG_BLOB,
    }
)
_LENGTH_PREFIXES = {0xFC: 2, 0xFD: 3, 0xFE: 8}
_ESCAPES = str.maketrans(
    {
        "\\": "\\\\",
        "'": "\\'",
        "\0": "\\0",
        "\n": "\\n",
        "\r": "\\r",
        "\x1a": "\\Z",
    }
)


@attrs.frozen
class ParameterType:
    """Declared type of one parameter.

    Attributes:
      code: The MySQL type code.
      unsigned: Whether an integer is unsigned.
      name: The name of a query attribute; empty for a placeholder.
    """

    code: int
    unsigned: bool
    name: str = ""


class MalformedParameters(ValueError):
    """Parameters that violate the MySQL protocol."""


class ParameterReader:
    """Reads consecutive values from a packet.

    Attributes:
      data: The packet.
      position: The offset of the next byte.
    """

    def __init__(self, data: bytes, position: int = 0) -> None:
        self.data = data
        self.position = position

    def take(self, count: int) -> bytes:
        """Return the next bytes.

        Args:
          count: The number of bytes.

        Raises:
          MalformedParameters: The packet has fewer bytes left.
        """
        end = self.position + count
        if end > len(self.data):
            raise MalformedParameters("packet is truncated")
        piece = self.data[self.position : end]
        self.position = end
        return piece

    def number(self, count: int) -> int:
        """Return the next little-endian unsigned integer.

        Args:
          count: Its size in bytes.
        """
        return int.from_bytes(self.take(count), "little")

    def length(self) -> int:
        """Return the next length-encoded integer."""
        first = self.number(1)
        extra = _LENGTH_PREFIXES.get(first)
        return first if extra is None else self.number(extra)

    def text(self) -> bytes:
        """Return the next length-encoded string."""
        return self.take(self.length())

    def parameter_type(self, named: bool) -> ParameterType:
        """Return the next parameter type.

        Args:
          named: Whether a parameter name follows the type.
        """
        code = self.number(1)
        flags = self.number(1)
        name = self._name() if named else ""
        return ParameterType(code, bool(flags & UNSIGNED), name)

    def _name(self) -> str:
        try:
            return self.text().decode()
        except UnicodeDecodeError as error:
            raise MalformedParameters(
                "parameter name is not valid UTF-8"
            ) from error

    def literal(self, kind: ParameterType) -> str:
        """Return the next value as an SQL literal.

        Args:
          kind: The type of the value.
        """
        code = kind.code
        if code in _INTEGERS:
            return self._integer(kind)
        if code in _FLOATS:
            size = struct.calcsize(_FLOATS[ColumnType(code)])
            value = struct.unpack(_FLOATS[ColumnType(code)], self.take(size))
            if not math.isfinite(value[0]):
                raise MalformedParameters("float value is not finite")
            return repr(value[0])
        if code in _DATES:
            return self._date()
        if code == ColumnType.TIME:
            return self._time()
        if code == ColumnType.NULL:
            return "NULL"
        return quote(self.text(), code)

    def _integer(self, kind: ParameterType) -> str:
        format_char = _INTEGERS[ColumnType(kind.code)]
        form = "<" + (format_char.upper() if kind.unsigned else format_char)
        return str(struct.unpack(form, self.take(struct.calcsize(form)))[0])

    def _date(self) -> str:
        length = self.number(1)
        if not length:
            return "'0000-00-00'"
        fields = self.take(length).ljust(11, b"\0")
        year, month, day, hour, minute, second, micros = struct.unpack(
            "<HBBBBBI", fields[:11]
        )
        date = f"{year:04}-{month:02}-{day:02}"
        clock = f"{hour:02}:{minute:02}:{second:02}"
        if length == 4:
            return f"'{date}'"
        fraction = f".{micros:06}" if micros else ""
        return f"'{date} {clock}{fraction}'"

    def _time(self) -> str:
        length = self.number(1)
        fields = self.take(length).ljust(12, b"\0")
        negative, days, hours, minutes, seconds, micros = struct.unpack(
            "<BIBBBI", fields[:12]
        )
        sign = "-" if negative else ""
        fraction = f".{micros:06}" if micros else ""
        hours += days * 24
        return f"'{sign}{hours:02}:{minutes:02}:{seconds:02}{fraction}'"


def quote(value: bytes, code: int = ColumnType.VAR_STRING) -> str:
    """Return bytes as an SQL literal.

    Args:
      value: The bytes; text is UTF-8.
      code: The MySQL type code.
    """
    if code in _DECIMALS and _NUMBER.fullmatch(value):
        return value.decode()
    if code in _BLOBS:
        return f"x'{value.hex()}'"
    try:
        text = value.decode("utf-8")
    except UnicodeDecodeError:
        return f"x'{value.hex()}'"
    return "'" + text.translate(_ESCAPES) + "'"
