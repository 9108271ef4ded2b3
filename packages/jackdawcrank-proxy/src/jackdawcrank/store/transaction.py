"""Conditional writes of several rows."""

from typing import Any

import attrs


@attrs.frozen
class RowCheck:
    """A precondition on the version of one row.

    Attributes:
      table: The table's name.
      key: The row's key.
      version: The required version; None if the row must not exist.
    """

    table: str
    key: str
    version: int | None


@attrs.frozen
class RowPut:
    """A row to write.

    Attributes:
      table: The table's name.
      key: The row's key.
      value: The new JSON value.
    """

    table: str
    key: str
    value: Any


@attrs.frozen
class RowDelete:
    """A row to remove.

    Attributes:
      table: The table's name.
      key: The row's key.
    """

    table: str
    key: str


@attrs.frozen
class Transaction:
    """Writes that are applied atomically if every check passes.

    Attributes:
      checks: The preconditions.
      puts: The rows to write.
      deletes: The rows to remove.
    """

    checks: tuple[RowCheck, ...] = ()
    puts: tuple[RowPut, ...] = ()
    deletes: tuple[RowDelete, ...] = ()
