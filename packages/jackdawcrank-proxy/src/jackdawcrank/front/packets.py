"""Encodes result messages as MySQL response packets."""

import struct

from mysql_mimic import packets
from mysql_mimic.types import (
    Capabilities,
    ServerStatus,
    str_len,
    uint_1,
    uint_2,
    uint_4,
    uint_len,
)

from jackdawcrank_wire.messages import (
    ColumnInfo,
    ResultError,
    ResultOk,
    StatementOutcome,
)

MAX_MESSAGE_BYTES = 512
FIXED_FIELDS_LENGTH = 0x0C
END_HEADER = 0xFE
_END_OK = struct.Struct("<BBBHH")
_END_EOF = struct.Struct("<BHH")


def column_packet(column: ColumnInfo) -> bytes:
    """Return a column definition packet.

    Args:
      column: The column.
    """
    texts = (
        "def",
        column.database,
        column.table,
        column.original_table,
        column.name,
        column.original_name,
    )
    fixed = struct.pack(
        "<HIBHBH",
        column.charset,
        column.length,
        column.type_code,
        column.flags,
        column.decimals,
        0,
    )
    encoded_texts = b"".join(str_len(text.encode()) for text in texts)
    return encoded_texts + uint_1(FIXED_FIELDS_LENGTH) + fixed


def ok_packet(
    capabilities: Capabilities, status: ServerStatus, result: ResultOk
) -> bytes:
    """Return an OK packet with counts and info text.

    Args:
      capabilities: The capabilities agreed with the driver.
      status: The connection's status flags.
      result: The answer.
    """
    packet = packets.make_ok(
        capabilities=capabilities,
        status_flags=status,
        affected_rows=result.affected_rows,
        last_insert_id=result.last_insert_id,
        warnings=result.warnings,
    )
    return bytes(packet) + result.info.encode()


def end_packet(use_ok_packet: bool, status: int, warnings: int) -> bytes:
    """Return the packet that ends a result set.

    Args:
      use_ok_packet: Whether the driver expects an OK instead of an EOF packet.
      status: The connection's status flags.
      warnings: The number of warnings.
    """
    if use_ok_packet:
        return _END_OK.pack(END_HEADER, 0, 0, status, warnings)
    return _END_EOF.pack(END_HEADER, warnings, status)


def error_text(error: ResultError) -> str:
    """Return the error message for the caller, starting with the outcome.

    Args:
      error: The failure.
    """
    text = f"{error.outcome.value}: {error.message}"
    if error.outcome is StatementOutcome.NOT_RUN:
        text = f"not_run: {error.reason}: {error.message}"
    if error.retry_after_ms is not None:
        text += f"; retry_after_ms={error.retry_after_ms}"
    return text


def error_packet(error: ResultError) -> bytes:
    """Return an error packet with the MySQL error code and SQLSTATE.

    Args:
      error: The failure.
    """
    text = error_text(error).encode()[:MAX_MESSAGE_BYTES]
    state = error.sqlstate.encode()[:5].ljust(5, b"0")
    return b"\xff" + uint_2(error.code) + b"#" + state + text


def frame_packet(packet: bytes, sequence: int) -> bytes:
    """Return a payload with its packet header prepended.

    Args:
      packet: The payload, less than 16 MiB.
      sequence: The packet's sequence number within the command.
    """
    return bytes(uint_4(len(packet) | sequence << 24)) + packet


def column_count_packet(count: int) -> bytes:
    """Return the column count packet of a result set.

    Args:
      count: The number of columns.
    """
    return bytes(uint_len(count))
