"""A conditional write of several rows."""

from typing import Any

import attrs


@attrs.frozen
class RowCheck:
    """A condition on one row.

    Attributes:
      table: The table's name.
      key: The row's key.
      version: The version that the row must have; None for no row.
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
    """Writes that happen together, if every check holds.

    Attributes:
      checks: The conditions.
      puts: The rows to write.
      deletes: The rows to remove.
    """

    checks: tuple[RowCheck, ...] = ()
    puts: tuple[RowPut, ...] = ()
    deletes: tuple[RowDelete, ...] = ()
