"""The result of a statement that returned rows."""

import attrs

from jackdawcrank_policy.values import Position
from jackdawcrank_wire.messages.column_info import ColumnInfo

Row = tuple[bytes | None, ...]
Rows = tuple[Row, ...]


@attrs.frozen
class ResultRows:
    """A result set, or the first part of a large one.

    Attributes:
      columns: The column definitions.
      rows: Rows in the format of the MySQL text protocol; None is NULL.
      position: The log position that the result reflects; None if unknown.
      in_transaction: Whether the session has an open transaction afterwards.
      transaction_id: The id of the open transaction on the home proxy; empty
        for none.
      warnings: The number of warnings.
      server: The name of the backend server that ran the statement.
      complete: Whether `rows` contains every row; otherwise `RowsChunk`
        messages follow.
      term: The term in which the server was chosen.
    """

    columns: tuple[ColumnInfo, ...]
    rows: Rows = ()
    position: Position | None = None
    in_transaction: bool = False
    transaction_id: str = ""
    warnings: int = 0
    server: str = ""
    complete: bool = True
    term: int = 0
