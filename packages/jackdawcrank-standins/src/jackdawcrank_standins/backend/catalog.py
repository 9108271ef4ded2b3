"""What the server knows of its tables' columns."""

import sqlite3
from collections.abc import Callable

import attrs

from jackdawcrank_standins.backend.columns import ColumnKind, declared_kind
from jackdawcrank_standins.backend.sqlite_dialect import quote


@attrs.frozen
class TableInfo:
    """A table's columns.

    Attributes:
      columns: The kind of each column by its lower-case name, in order.
      names: The columns' names as declared, in order.
      id_column: The AUTO_INCREMENT column's lower-case name, if there is one.
    """

    columns: dict[str, ColumnKind | None]
    names: tuple[str, ...]
    id_column: str | None


@attrs.define
class Catalog:
    """Reads the columns of tables from SQLite and remembers them.

    Attributes:
      connection: Returns the SQLite connection to ask.
      tables: The tables read so far.
    """

    connection: Callable[[], sqlite3.Connection]
    tables: dict[str, TableInfo | None] = attrs.field(factory=dict)

    def table(self, name: str) -> TableInfo | None:
        """Return a table's columns, or None if there is no such table."""
        key = name.lower()
        if key not in self.tables:
            self.tables[key] = self.read(name)
        return self.tables[key]

    def read(self, name: str) -> TableInfo | None:
        """Read a table's columns."""
        rows = (
            self.connection()
            .execute(f"PRAGMA table_info({quote(name)})")
            .fetchall()
        )
        if not rows:
            return None
        return TableInfo(
            columns={row[1].lower(): declared_kind(row[2]) for row in rows},
            names=tuple(row[1] for row in rows),
            id_column=self.id_column(name, rows),
        )

    def id_column(
        self, name: str, rows: list[tuple[object, ...]]
    ) -> str | None:
        """Return the AUTO_INCREMENT column of a table."""
        definition = (
            self.connection()
            .execute(
                "SELECT sql FROM sqlite_master WHERE type = 'table'"
                " AND name = ? COLLATE NOCASE",
                (name,),
            )
            .fetchone()
        )
        if definition is None or "AUTOINCREMENT" not in definition[0]:
            return None
        return next(str(row[1]).lower() for row in rows if row[5])

    def clear(self) -> None:
        """Forget everything, after a change of the schema."""
        self.tables.clear()
