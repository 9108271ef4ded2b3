"""Result sets that the proxy generates itself."""

from collections.abc import Sequence

from mysql_mimic import ColumnType

from jackdawcrank_wire.messages import ColumnInfo, ResultRows

UTF8MB4_GENERAL_CI = 45
BINARY = 63
TEXT_LENGTH = 2048
NUMBER_LENGTH = 20


def make_text_rows(
    names: Sequence[str], rows: Sequence[Sequence[str]]
) -> ResultRows:
    """Return a result set of text columns.

    Args:
      names: The columns' names.
      rows: The values.
    """
    columns = tuple(
        ColumnInfo(
            name, ColumnType.VAR_STRING, UTF8MB4_GENERAL_CI, length=TEXT_LENGTH
        )
        for name in names
    )
    encoded = tuple(tuple(v.encode() for v in row) for row in rows)
    return ResultRows(columns, encoded)


def make_number_row(name: str, number: int) -> ResultRows:
    """Return a result set of one row with one integer.

    Args:
      name: The column's name.
      number: The value.
    """
    column = ColumnInfo(name, ColumnType.LONGLONG, BINARY, length=NUMBER_LENGTH)
    return ResultRows((column,), ((str(number).encode(),),))
