"""The result of a successful statement that returned no rows."""

import attrs

from jackdawcrank_policy.values import Position


@attrs.frozen
class ResultOk:
    """A success result without rows.

    Attributes:
      affected_rows: The number of rows that the statement changed.
      last_insert_id: The id that the statement generated; 0 for none.
      position: The log position of the committed change; None if the statement
        committed none.
      in_transaction: Whether the session has an open transaction afterwards.
      transaction_id: The id of the open transaction on the home proxy; empty
        for none.
      warnings: The number of warnings.
      info: The info text of the backend server.
      server: The name of the backend server that ran the statement.
    """

    affected_rows: int = 0
    last_insert_id: int = 0
    position: Position | None = None
    in_transaction: bool = False
    transaction_id: str = ""
    warnings: int = 0
    info: str = ""
    server: str = ""
