"""What came back for one statement on one connection."""

import attrs

from jackdawcrank_policy.values import Position
from jackdawcrank_wire.messages import ColumnInfo

Row = tuple[bytes | None, ...]


@attrs.frozen
class RowsAnswer:
    """The statement returned rows.

    Attributes:
      columns: The columns.
      rows: The values in the text protocol's form; None is NULL.
    """

    columns: tuple[ColumnInfo, ...]
    rows: tuple[Row, ...]


@attrs.frozen
class OkAnswer:
    """The statement ran without rows.

    Attributes:
      affected_rows: The number of rows that it changed.
      last_insert_id: The first generated key, or 0.
      warnings: The number of warnings.
      position: The log position of the commit, if this committed a write.
    """

    affected_rows: int = 0
    last_insert_id: int = 0
    warnings: int = 0
    position: Position | None = None


@attrs.frozen
class ErrorAnswer:
    """The server refused the statement or rolled it back.

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
    """The connection broke or stayed silent; the statement's fate is open.

    Attributes:
      sent: Whether any byte of the statement may have left this process.
      detail: A sentence for people.
    """

    sent: bool
    detail: str


ServerAnswer = RowsAnswer | OkAnswer | ErrorAnswer | LostAnswer
