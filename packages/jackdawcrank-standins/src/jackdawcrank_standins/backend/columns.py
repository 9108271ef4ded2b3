"""Types of result columns, as the protocol names them."""

import re

import attrs
from mysql_mimic.charset import CharacterSet
from mysql_mimic.types import ColumnDefinition, ColumnType


@attrs.frozen
class ColumnKind:
    """The type of a result column.

    Attributes:
      type: The protocol's type code.
      flags: The protocol's column flags.
      decimals: Digits after the point, 31 where they vary.
      length: The greatest display length.
      binary: Whether values are bytes and not text.
    """

    type: ColumnType
    flags: int = 0
    decimals: int = 0
    length: int = 255
    binary: bool = False

    @property
    def character_set(self) -> CharacterSet:
        """Return the character set that the column is sent in."""
        if self.binary or self.type not in TEXT_TYPES:
            return CharacterSet.binary
        return CharacterSet.utf8mb4


TEXT_TYPES = {
    ColumnType.VAR_STRING,
    ColumnType.VARCHAR,
    ColumnType.STRING,
    ColumnType.BLOB,
}
BINARY_FLAG = int(ColumnDefinition.BINARY_FLAG)
BLOB_FLAG = int(ColumnDefinition.BLOB_FLAG)
UNSIGNED_FLAG = int(ColumnDefinition.UNSIGNED_FLAG)
VARYING_DECIMALS = 31

INTEGER = ColumnKind(ColumnType.LONGLONG, BINARY_FLAG, 0, 20)
DOUBLE = ColumnKind(ColumnType.DOUBLE, BINARY_FLAG, VARYING_DECIMALS, 22)
TEXT = ColumnKind(ColumnType.VAR_STRING, 0, VARYING_DECIMALS, 1024)
LONG_TEXT = ColumnKind(ColumnType.BLOB, BLOB_FLAG, 0, 65535)
BLOB = ColumnKind(ColumnType.BLOB, BLOB_FLAG | BINARY_FLAG, 0, 65535, True)
NULL = ColumnKind(ColumnType.NULL, BINARY_FLAG, 0, 0)
DATETIME = ColumnKind(ColumnType.DATETIME, BINARY_FLAG, 0, 19)
DATE = ColumnKind(ColumnType.DATE, BINARY_FLAG, 0, 10)
TIME = ColumnKind(ColumnType.TIME, BINARY_FLAG, 0, 10)
JSON = ColumnKind(ColumnType.JSON, BLOB_FLAG | BINARY_FLAG, 0, 65535)
AVERAGE_DECIMALS = 4


def decimal(scale: int) -> ColumnKind:
    """Return the kind of an exact number with digits after the point."""
    return ColumnKind(ColumnType.NEWDECIMAL, BINARY_FLAG, scale, 65)


def integer(type_code: ColumnType, length: int) -> ColumnKind:
    """Return the kind of an integer of some width."""
    return ColumnKind(type_code, BINARY_FLAG, 0, length)


DECLARED = {
    "TINYINT": integer(ColumnType.TINY, 4),
    "BOOL": integer(ColumnType.TINY, 1),
    "BOOLEAN": integer(ColumnType.TINY, 1),
    "SMALLINT": integer(ColumnType.SHORT, 6),
    "MEDIUMINT": integer(ColumnType.INT24, 9),
    "INT": integer(ColumnType.LONG, 11),
    "INTEGER": INTEGER,
    "BIGINT": INTEGER,
    "YEAR": integer(ColumnType.YEAR, 4),
    "FLOAT": ColumnKind(ColumnType.FLOAT, BINARY_FLAG, VARYING_DECIMALS, 12),
    "DOUBLE": DOUBLE,
    "REAL": DOUBLE,
    "DATETIME": DATETIME,
    "TIMESTAMP": ColumnKind(ColumnType.TIMESTAMP, BINARY_FLAG, 0, 19),
    "DATE": DATE,
    "TIME": TIME,
    "JSON": JSON,
    "CHAR": ColumnKind(ColumnType.STRING, 0, 0, 1020),
    "ENUMCHAR": ColumnKind(ColumnType.STRING, 256, 0, 1020),
    "VARCHAR": TEXT,
    "TINYTEXT": LONG_TEXT,
    "TEXT": LONG_TEXT,
    "MEDIUMTEXT": LONG_TEXT,
    "LONGTEXT": LONG_TEXT,
    "TINYBLOB": BLOB,
    "BLOB": BLOB,
    "MEDIUMBLOB": BLOB,
    "LONGBLOB": BLOB,
    "VARBLOB": ColumnKind(ColumnType.VAR_STRING, BINARY_FLAG, 0, 1024, True),
}
DECLARATION = re.compile(r"(\w+)\s*(?:\((\d+)(?:\s*,\s*(\d+))?\))?(.*)")


def declared_kind(declaration: str) -> ColumnKind | None:
    """Return the kind of a column from its declared type.

    Args:
      declaration: A type as the translated CREATE TABLE names it, such as
        `DECIMAL(10, 2)` or `BIGINT UNSIGNED`.
    """
    match = DECLARATION.match(declaration.upper())
    if match is None:
        return None
    if match[1] in ("DECIMAL", "NUMERIC"):
        return decimal(int(match[3] or 0))
    kind = DECLARED.get(match[1])
    if kind is not None and "UNSIGNED" in match[4]:
        return attrs.evolve(kind, flags=kind.flags | UNSIGNED_FLAG)
    return kind


def kind_of_value(value: object) -> ColumnKind:
    """Return the kind of a column that is known by a value only."""
    match value:
        case None:
            return NULL
        case int():
            return INTEGER
        case float():
            return DOUBLE
        case bytes():
            return BLOB
    return TEXT
