"""The rows that a statement returned."""

import attrs

from jackdawcrank_policy.values import Position
from jackdawcrank_wire.messages.column_info import ColumnInfo

Row = tuple[bytes | None, ...]
Rows = tuple[Row, ...]


@attrs.frozen
class ResultRows:
    """A result set, or the first part of a large one.

    Attributes:
      columns: The columns' descriptions.
      rows: Rows in the text protocol's form; None is NULL.
      position: The log position that the answer reflects, if known.
      in_transaction: Whether the session has an open transaction after it.
      transaction_id: The open transaction on the home proxy, if any.
      warnings: The number of warnings.
      server: The backend server that answered.
      complete: Whether `rows` holds every row; else chunks follow.
      term: The term under which the server was chosen.
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
