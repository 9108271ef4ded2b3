"""A statement translated to SQLite."""

import enum

import attrs

from jackdawcrank_standins.backend.columns import ColumnKind


class StatementKind(enum.StrEnum):
    """What a translated statement does."""

    READ = "read"
    LOCKING_READ = "locking_read"
    WRITE = "write"
    SCHEMA = "schema"


@attrs.frozen
class Compiled:
    """A statement in SQLite's dialect.

    Attributes:
      kind: What the statement does.
      sql: The SQLite statements to run, one after the other; only the first
        has parameters.
      columns: The kind of each result column where it is known, by position;
        empty where nothing is known.
      variables: The variables whose values the statement reads.
      generates_ids: Whether rows get numbers from an AUTO_INCREMENT column.
      explicit_ids: Whether the statement names that column itself.
      insert_only_sql: For a one-row INSERT with ON DUPLICATE KEY UPDATE, the
        same insert that does nothing for a duplicate.
      insert_only_parameters: How many of the parameters that insert has.
    """

    kind: StatementKind
    sql: tuple[str, ...]
    columns: tuple[ColumnKind | None, ...] = ()
    variables: frozenset[str] = frozenset()
    generates_ids: bool = False
    explicit_ids: bool = False
    insert_only_sql: str | None = None
    insert_only_parameters: int = 0
