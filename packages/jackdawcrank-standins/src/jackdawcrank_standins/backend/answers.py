"""What a session answers to a statement."""

import attrs

from jackdawcrank_standins.backend.columns import ColumnKind


@attrs.frozen
class OkAnswer:
    """A statement without rows has run.

    Attributes:
      affected_rows: How many rows it changed.
      last_insert_id: The number that it generated, or 0.
      info: The text of the OK packet.
    """

    affected_rows: int = 0
    last_insert_id: int = 0
    info: str = ""


@attrs.frozen
class RowsAnswer:
    """The rows of a query.

    Attributes:
      names: The columns' names.
      kinds: The columns' kinds.
      rows: The rows.
    """

    names: tuple[str, ...]
    kinds: tuple[ColumnKind, ...]
    rows: list[tuple[object, ...]]


Answer = OkAnswer | RowsAnswer
