"""One server's data, in SQLite."""

import datetime
import sqlite3
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

from jackdawcrank_standins.backend import functions
from jackdawcrank_standins.backend.catalog import Catalog
from jackdawcrank_standins.backend.compiled import Compiled
from jackdawcrank_standins.backend.errors import from_sqlite
from jackdawcrank_standins.backend.literals import Value
from jackdawcrank_standins.backend.replication_log import (
    LogEntry,
    LoggedStatement,
)
from jackdawcrank_standins.backend.statement_cache import StatementCache
from jackdawcrank_standins.backend.statement_context import StatementContext
from jackdawcrank_standins.backend.translation import Translator

CACHED_STATEMENTS = 512
SNAPSHOT_INTERVAL_ENTRIES = 2000
KEPT_SNAPSHOTS = 3
EPOCH = datetime.datetime(2000, 1, 1)


@attrs.frozen
class RowsRead:
    """What a query found.

    Attributes:
      names: The columns' names.
      rows: The rows.
    """

    names: tuple[str, ...]
    rows: list[tuple[Any, ...]]


@attrs.frozen
class WriteResult:
    """What a write did.

    Attributes:
      affected_rows: How many rows it inserted, deleted or matched; a row that
        ON DUPLICATE KEY UPDATE updated counts as two.
      last_insert_id: The first generated number, 0 if there is none.
      statements: What a replica has to replay.
    """

    affected_rows: int
    last_insert_id: int
    statements: tuple[LoggedStatement, ...]


@attrs.frozen
class Snapshot:
    """The committed data at one offset of the log.

    Attributes:
      length: How many entries it includes.
      data: The copy.
    """

    length: int
    data: sqlite3.Connection


@attrs.define
class Database:
    """Two copies of the data: committed, and with the open writer's changes.

    SQLite in memory gives no reader a view beside a writer. So the one open
    transaction that writes has its own copy, and commits by replaying its
    writes on the committed copy, as a replica does.

    Attributes:
      name: The database's name.
      context: The context of the statement that runs now.
      committed: Holds what is committed.
      working: Holds the writer's view; None until this server writes.
      snapshots: Older states of the committed copy, oldest first.
      catalog: Knows the tables' columns.
      statements: Translates statements.
    """

    name: str
    context: StatementContext = attrs.field(
        factory=lambda: StatementContext(EPOCH)
    )
    committed: sqlite3.Connection = attrs.field(init=False)
    working: sqlite3.Connection | None = None
    snapshots: list[Snapshot] = attrs.field(factory=list)
    catalog: Catalog = attrs.field(init=False)
    statements: StatementCache = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.committed = self.open()
        # The table of AUTO_INCREMENT counters exists from the first use on.
        self.committed.execute(
            "CREATE TABLE t (a INTEGER PRIMARY KEY AUTOINCREMENT)"
        )
        self.committed.execute("DROP TABLE t")
        self.catalog = Catalog(lambda: self.committed)
        self.statements = StatementCache(Translator(self.catalog, self.name))
        self.snapshots = [self.snapshot(0)]

    def open(self) -> sqlite3.Connection:
        """Return a new empty copy."""
        connection = sqlite3.connect(
            ":memory:",
            isolation_level=None,
            cached_statements=CACHED_STATEMENTS,
        )
        connection.execute("PRAGMA foreign_keys = ON")
        functions.register(connection, self)
        return connection

    def close(self) -> None:
        """Free all copies."""
        self.drop_working()
        self.committed.close()
        for snapshot in self.snapshots:
            snapshot.data.close()

    def query(
        self,
        compiled: Compiled,
        values: Sequence[Value],
        context: StatementContext,
        in_writer: bool,
    ) -> RowsRead:
        """Run a query.

        Args:
          compiled: The translated query.
          values: The values of its parameters.
          context: What else its result depends on.
          in_writer: Whether it sees the open writer's changes.

        Raises:
          Failure: The query failed.
        """
        connection = self.writer() if in_writer else self.committed
        self.context = context
        try:
            cursor = connection.execute(compiled.sql[0], values)
            rows = cursor.fetchall()
        except sqlite3.Error as error:
            raise from_sqlite(error, self.name) from error
        names = tuple(item[0] for item in cursor.description or ())
        return RowsRead(names, rows)

    def begin(self) -> None:
        """Open the writer's transaction."""
        self.writer().execute("BEGIN")

    def write(
        self,
        compiled: Compiled,
        values: tuple[Value, ...],
        context: StatementContext,
    ) -> WriteResult:
        """Run a write in the writer's transaction.

        Args:
          compiled: The translated statement.
          values: The values of its parameters.
          context: What else its result depends on.

        Raises:
          Failure: The statement failed and changed nothing.
        """
        try:
            return self.run_write(compiled, values, context)
        except sqlite3.Error as error:
            raise from_sqlite(error, self.name) from error

    def run_write(
        self,
        compiled: Compiled,
        values: tuple[Value, ...],
        context: StatementContext,
    ) -> WriteResult:
        """Run a write whose errors are SQLite's."""
        if compiled.insert_only_sql is None and len(compiled.sql) == 1:
            cursor = self.run(compiled.sql[0], values, context)
            logged = LoggedStatement(compiled.sql[0], values, context)
            return self.result(compiled, cursor, (logged,), context)
        self.writer().execute("SAVEPOINT one_statement")
        try:
            result = self.run_steps(compiled, values, context)
        except sqlite3.Error:
            self.writer().execute("ROLLBACK TO one_statement")
            raise
        finally:
            self.writer().execute("RELEASE one_statement")
        return result

    def run_steps(
        self,
        compiled: Compiled,
        values: tuple[Value, ...],
        context: StatementContext,
    ) -> WriteResult:
        """Run a write that takes more than one SQLite statement."""
        logged: list[LoggedStatement] = []
        if compiled.insert_only_sql is not None:
            sql = compiled.insert_only_sql
            used = values[: compiled.insert_only_parameters]
            cursor = self.run(sql, used, context)
            # Logged also if it inserted nothing: it may have taken a number.
            logged.append(LoggedStatement(sql, used, context))
            if cursor.rowcount > 0:
                return self.result(compiled, cursor, tuple(logged), context)
        rows = 0
        for place, sql in enumerate(compiled.sql):
            parameters = values if place == 0 else ()
            cursor = self.run(sql, parameters, context)
            logged.append(LoggedStatement(sql, parameters, context))
            rows += max(cursor.rowcount, 0)
        weight = 2 if compiled.insert_only_sql is not None else 1
        last_id = context.new_last_insert_id or 0
        return WriteResult(weight * rows, last_id, tuple(logged))

    def run(
        self, sql: str, values: tuple[Value, ...], context: StatementContext
    ) -> sqlite3.Cursor:
        """Run one SQLite statement in the writer's transaction."""
        context.restart()
        self.context = context
        return self.writer().execute(sql, values)

    def result(
        self,
        compiled: Compiled,
        cursor: sqlite3.Cursor,
        statements: tuple[LoggedStatement, ...],
        context: StatementContext,
    ) -> WriteResult:
        """Return what a write did from SQLite's cursor."""
        rows = max(cursor.rowcount, 0)
        last_id = context.new_last_insert_id or 0
        if compiled.generates_ids and rows and not last_id:
            last_id = cursor.lastrowid or 0
            if not compiled.explicit_ids:
                last_id -= rows - 1
        return WriteResult(rows, last_id, statements)

    def commit(self, entry: LogEntry) -> None:
        """Make the writer's transaction the committed state.

        Args:
          entry: The transaction's log entry.
        """
        self.writer().execute("COMMIT")
        self.apply(entry)

    def rollback(self) -> None:
        """Undo the writer's transaction."""
        if self.working is not None and self.working.in_transaction:
            self.working.execute("ROLLBACK")

    def replay(self, statements: Iterable[LoggedStatement]) -> None:
        """Run logged writes in the writer's transaction."""
        for statement in statements:
            self.run(statement.sql, statement.values, statement.context)

    def apply(self, entry: LogEntry) -> None:
        """Apply a log entry to the committed copy."""
        self.committed.execute("BEGIN")
        for statement in entry.statements:
            statement.context.restart()
            self.context = statement.context
            self.committed.execute(statement.sql, statement.values)
        self.committed.execute("COMMIT")
        if entry.changes_schema:
            self.forget_schema()
        if entry.position.offset % SNAPSHOT_INTERVAL_ENTRIES == 0:
            self.keep_snapshot(entry.position.offset)

    def forget_schema(self) -> None:
        """Read the tables' columns and translate statements anew."""
        self.catalog.clear()
        self.statements.clear()

    def writer(self) -> sqlite3.Connection:
        """Return the writer's copy, made from the committed one."""
        if self.working is None:
            self.working = self.open()
            self.committed.backup(self.working)
        return self.working

    def drop_working(self) -> None:
        """Free the writer's copy, which a server that follows lacks."""
        if self.working is not None:
            self.working.close()
            self.working = None

    def snapshot(self, length: int) -> Snapshot:
        """Return a copy of the committed state."""
        data = sqlite3.connect(":memory:", isolation_level=None)
        self.committed.backup(data)
        return Snapshot(length, data)

    def keep_snapshot(self, length: int) -> None:
        """Keep a copy of the committed state and free the oldest ones."""
        self.snapshots.append(self.snapshot(length))
        while len(self.snapshots) > KEPT_SNAPSHOTS + 1:
            self.snapshots.pop(1).data.close()

    def rebuild(self, entries: list[LogEntry]) -> None:
        """Set the committed copy to the state after some entries.

        Args:
          entries: All entries from offset 1 on that the copy should hold.
        """
        self.drop_working()
        while self.snapshots[-1].length > len(entries):
            self.snapshots.pop().data.close()
        base = self.snapshots[-1]
        base.data.backup(self.committed)
        self.forget_schema()
        for entry in entries[base.length :]:
            self.apply(entry)
