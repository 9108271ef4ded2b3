"""The success of a statement that returned no rows."""

import attrs

from jackdawcrank_policy.values import Position


@attrs.frozen
class ResultOk:
    """A statement ran and returned no rows.

    Attributes:
      affected_rows: The number of rows that it changed.
      last_insert_id: The id that it generated; 0 for none.
      position: The log position of its effect, if it committed one.
      in_transaction: Whether the session has an open transaction after it.
      transaction_id: The open transaction on the home proxy, if any.
      warnings: The number of warnings.
      info: The backend server's info text.
      server: The backend server that answered.
    """

    affected_rows: int = 0
    last_insert_id: int = 0
    position: Position | None = None
    in_transaction: bool = False
    transaction_id: str = ""
    warnings: int = 0
    info: str = ""
    server: str = ""
