"""Division of large results into parts."""

import collections.abc

from jackdawcrank_wire.messages import Row, Rows

CHUNK_BYTES = 64 * 1024
BYTES_PER_VALUE = 5
BYTES_PER_ROW = 5


def row_size(row: Row) -> int:
    """Return the most bytes that a row takes on the wire.

    Args:
      row: The row.
    """
    values = sum(len(value) for value in row if value is not None)
    return BYTES_PER_ROW + BYTES_PER_VALUE * len(row) + values


def split_rows(
    rows: Rows, chunk_bytes: int = CHUNK_BYTES
) -> collections.abc.Iterator[Rows]:
    """Yield rows in parts that are small unless one row is large.

    Args:
      rows: The rows.
      chunk_bytes: The size in bytes above which a new part begins.
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
