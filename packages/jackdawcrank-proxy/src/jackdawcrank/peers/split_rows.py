"""Splitting of large results into chunks."""

import collections.abc

from jackdawcrank_wire.messages import Row, Rows

CHUNK_BYTES = 64 * 1024
BYTES_PER_VALUE = 5
BYTES_PER_ROW = 5


def row_size(row: Row) -> int:
    """Return the maximum size of an encoded row in bytes.

    Args:
      row: The row.
    """
    values = sum(len(value) for value in row if value is not None)
    return BYTES_PER_ROW + BYTES_PER_VALUE * len(row) + values


def split_rows(
    rows: Rows, chunk_bytes: int = CHUNK_BYTES
) -> collections.abc.Iterator[Rows]:
    """Yield rows in chunks of limited size.

    A row above the limit is a chunk of its own.

    Args:
      rows: The rows.
      chunk_bytes: The maximum size of a chunk of several rows, in bytes.
    """
    chunk: list[Row] = []
    size = 0
    for row in rows:
        if chunk and size + row_size(row) > chunk_bytes:
            yield tuple(chunk)
            chunk, size = [], 0
        chunk.append(row)
        size += row_size(row)
    if chunk:
        yield tuple(chunk)
