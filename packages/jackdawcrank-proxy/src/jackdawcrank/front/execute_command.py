"""Decodes COM_QUERY and COM_STMT_EXECUTE commands."""

import attrs
from mysql_mimic.types import Capabilities

from jackdawcrank.front.parameters import (
    MAX_PARAMETERS,
    MalformedParameters,
    ParameterReader,
    ParameterType,
    quote,
)
from jackdawcrank.front.prepared_text import PreparedText

CURSOR_READ_ONLY = 0x01
PARAMETER_COUNT_AVAILABLE = 0x08
EXECUTE_HEADER_BYTES = 9


@attrs.define
class Prepared:
    """Prepared statement of one connection.

    Attributes:
      text: The statement's text.
      types: The parameter types that the driver bound most recently.
      long_data: Values sent before the execution, by parameter index.
    """

    text: PreparedText
    types: tuple[ParameterType, ...] = ()
    long_data: dict[int, bytearray] = attrs.Factory(dict)


@attrs.frozen
class StatementCommand:
    """Statement decoded from a command.

    Attributes:
      sql: The statement.
      attributes: The query attributes.
      use_cursor: Whether the driver fetches the rows through a cursor.
    """

    sql: str
    attributes: dict[str, str]
    use_cursor: bool = False


def read_query(data: bytes, capabilities: Capabilities) -> StatementCommand:
    """Return the statement in a COM_QUERY.

    Bytes that are not valid UTF-8 become surrogate escapes.

    Args:
      data: The command without its first byte.
      capabilities: What the driver and the proxy agreed on.

    Raises:
      MalformedParameters: The command does not follow the protocol.
    """
    attributes: dict[str, str] = {}
    reader = ParameterReader(data)
    if Capabilities.CLIENT_QUERY_ATTRIBUTES in capabilities:
        count = _parameter_count(reader)
        reader.length()
        if count:
            types, nulls = _read_types(reader, count, (), named=True)
            attributes = _attributes(reader, types, nulls, 0)
    sql = decode_sql(data[reader.position :])
    return StatementCommand(sql, attributes)


def read_execute(
    data: bytes, prepared: Prepared, capabilities: Capabilities
) -> StatementCommand:
    """Return the statement in a COM_STMT_EXECUTE.

    Args:
      data: The command without its first byte.
      prepared: The prepared statement that it names.
      capabilities: What the driver and the proxy agreed on.

    Raises:
      MalformedParameters: The command does not follow the protocol.
    """
    reader = ParameterReader(data)
    flags = reader.take(EXECUTE_HEADER_BYTES)[4]
    use_cursor = bool(flags & CURSOR_READ_ONLY)
    placeholders = prepared.text.parameter_count
    count = placeholders
    named = Capabilities.CLIENT_QUERY_ATTRIBUTES in capabilities
    if named and (placeholders or flags & PARAMETER_COUNT_AVAILABLE):
        count = _parameter_count(reader)
    if count < placeholders:
        raise MalformedParameters("too few parameters")
    literals: list[str] = []
    attributes: dict[str, str] = {}
    if count:
        types, nulls = _read_types(reader, count, prepared.types, named)
        prepared.types = types
        literals = [
            _literal(reader, prepared, index, kind, nulls)
            for index, kind in enumerate(types[:placeholders])
        ]
        attributes = _attributes(reader, types, nulls, placeholders)
    return StatementCommand(
        prepared.text.fill(literals), attributes, use_cursor
    )


def decode_sql(data: bytes) -> str:
    """Return a statement's text.

    Args:
      data: The statement as the driver sent it.
    """
    return data.decode("utf-8", "surrogateescape")


def encode_sql(sql: str) -> bytes:
    """Return a statement's bytes as the driver sent them.

    Args:
      sql: The text from `decode_sql`.
    """
    return sql.encode("utf-8", "surrogateescape")


def _parameter_count(reader: ParameterReader) -> int:
    count = reader.length()
    if count > MAX_PARAMETERS:
        raise MalformedParameters("too many parameters")
    return count


def _read_types(
    reader: ParameterReader,
    count: int,
    bound_types: tuple[ParameterType, ...],
    named: bool,
) -> tuple[tuple[ParameterType, ...], bytes]:
    nulls = reader.take((count + 7) // 8)
    if not reader.number(1):
        if len(bound_types) != count:
            raise MalformedParameters("parameter types are not bound")
        return bound_types, nulls
    types = tuple(reader.parameter_type(named) for _ in range(count))
    return types, nulls


def _literal(
    reader: ParameterReader,
    prepared: Prepared,
    index: int,
    kind: ParameterType,
    nulls: bytes,
) -> str:
    if index in prepared.long_data:
        return quote(bytes(prepared.long_data[index]), kind.code)
    if _is_null(nulls, index):
        return "NULL"
    return reader.literal(kind)


def _attributes(
    reader: ParameterReader,
    types: tuple[ParameterType, ...],
    nulls: bytes,
    first: int,
) -> dict[str, str]:
    attributes = {}
    for index in range(first, len(types)):
        if _is_null(nulls, index):
            continue
        literal = reader.literal(types[index])
        attributes[types[index].name] = _unquote(literal)
    return attributes


def _unquote(literal: str) -> str:
    return literal[1:-1] if literal.startswith("'") else literal


def _is_null(nulls: bytes, index: int) -> bool:
    return bool(nulls[index // 8] & 1 << index % 8)
