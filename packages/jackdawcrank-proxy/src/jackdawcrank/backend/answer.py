"""Answers of a backend server to one statement."""

import attrs

from jackdawcrank_policy.values import Position
from jackdawcrank_wire.messages import ColumnInfo

Row = tuple[bytes | None, ...]


@attrs.frozen
class RowsAnswer:
    """The statement returned a result set.

    Attributes:
      columns: The columns.
      rows: The values in text protocol encoding; None is NULL.
    """

    columns: tuple[ColumnInfo, ...]
    rows: tuple[Row, ...]


@attrs.frozen
class OkAnswer:
    """The statement succeeded without a result set.

    Attributes:
      affected_rows: The number of rows that it changed.
      last_insert_id: The first generated key; 0 if none was generated.
      warnings: The number of warnings.
      position: The log position of the commit if a write was committed.
    """

    affected_rows: int = 0
    last_insert_id: int = 0
    warnings: int = 0
    position: Position | None = None


@attrs.frozen
class ErrorAnswer:
    """The server rejected the statement or rolled it back.

    Attributes:
      code: The MySQL error code.
      sqlstate: The SQLSTATE.
      message: The server's message.
    """

    code: int
    sqlstate: str
    message: str


@attrs.frozen
class LostAnswer:
    """The connection failed or timed out; the outcome is unknown.

    Attributes:
      sent: Whether any byte of the statement may have been sent.
      detail: A human-readable explanation.
    """

    sent: bool
    detail: str


ServerAnswer = RowsAnswer | OkAnswer | ErrorAnswer | LostAnswer
