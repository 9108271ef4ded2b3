"""Runs the statements of one connection."""

import asyncio
import datetime
import re
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import attrs

from jackdawcrank_standins.backend import show
from jackdawcrank_standins.backend.answers import (
    Answer,
    OkAnswer,
    RowsAnswer,
)
from jackdawcrank_standins.backend.compiled import StatementKind
from jackdawcrank_standins.backend.errors import (
    LOCK_WAIT_TIMEOUT,
    READ_ONLY,
    TIME_EXCEEDED,
    Failure,
    syntax_error,
    unknown_database,
)
from jackdawcrank_standins.backend.executed_statement import ExecutedStatement
from jackdawcrank_standins.backend.rows import final_kinds, format_decimals
from jackdawcrank_standins.backend.session_variables import (
    SessionVariables,
    literal_value,
)
from jackdawcrank_standins.backend.statement_cache import Bound
from jackdawcrank_standins.backend.statement_context import (
    Scalar,
    StatementContext,
)
from jackdawcrank_standins.backend.transaction import Transaction

if TYPE_CHECKING:
    from jackdawcrank_standins.backend.server import BackendServer

FIRST_WORD = re.compile(
    r"(?:\s|\(|/\*.*?\*/|(?:--\s|\#)[^\n]*)*(\w+)", re.DOTALL
)
COMMENT = re.compile(r"/\*(?!\+).*?\*/", re.DOTALL)
HINTED_TIME = re.compile(r"/\*\+.*?MAX_EXECUTION_TIME\s*\(\s*(\d+)", re.I)
VARIABLE_ITEM = re.compile(
    r"\s*@@(?:(?:global|session|local)\.)?(\w+)\s*(?:(?:AS\s+)?(\w+))?\s*$",
    re.IGNORECASE,
)
JOINED_VARIABLES = re.compile(
    r"\s*SELECT\s+CONCAT_WS\s*\(\s*'([^'\\]*)'\s*,([^()']*)\)"
    r"\s*(?:AS\s+(\w+)\s*)?;?\s*$",
    re.IGNORECASE,
)
WAIT = re.compile(
    r"\s*SELECT\s+WAIT_FOR_LOG_POSITION\s*\(\s*['\"]([^'\"]*)['\"]\s*,"
    r"\s*([\d.]+)\s*\)",
    re.IGNORECASE,
)
SLEEP = re.compile(
    r"(?:\s|/\*.*?\*/)*SELECT\s+(?:/\*.*?\*/)?\s*SLEEP\s*\(\s*([\d.]+)\s*\)",
    re.IGNORECASE | re.DOTALL,
)
ASSIGNMENT = re.compile(
    r"\s*(?:(GLOBAL|SESSION|LOCAL|PERSIST)\s+|@@(?:(GLOBAL|SESSION|LOCAL)\.)?)?"
    r"(@?)[`'\"]?([\w.$]+)[`'\"]?\s*:?=\s*(.+?)\s*$",
    re.IGNORECASE | re.DOTALL,
)
COMMAS = re.compile(r",(?=(?:[^'\"]*['\"][^'\"]*['\"])*[^'\"]*$)")
NO_ASSIGNMENT = re.compile(
    r"\s*(?:(?:SESSION|GLOBAL)\s+)?(NAMES|CHARACTER\s+SET|TRANSACTION)\b",
    re.IGNORECASE,
)
ROLLBACK_TO = re.compile(
    r"\s*ROLLBACK\s+(?:WORK\s+)?TO\s+(?:SAVEPOINT\s+)?`?(\w+)", re.IGNORECASE
)
SAVEPOINT = re.compile(r"\s*(?:RELEASE\s+)?SAVEPOINT\s+`?(\w+)", re.IGNORECASE)
MILLISECONDS = 1000


@attrs.define(eq=False)
class Session:
    """The state of one connection between statements.

    Attributes:
      server: The server that it runs on.
      connection_id: The connection's number.
      variables: The session's variables.
      username: Who has logged in; None before.
      database: The database chosen at connect.
      autocommit: Whether statements outside BEGIN commit on their own.
      transaction: The open transaction.
      last_insert_id: What `LAST_INSERT_ID()` returns.
    """

    server: "BackendServer"
    connection_id: int
    variables: SessionVariables = attrs.field(factory=SessionVariables)
    username: str | None = None
    database: str | None = None
    autocommit: bool = True
    transaction: Transaction | None = None
    last_insert_id: int = 0

    async def run(self, sql: str) -> Answer:
        """Run one statement.

        Args:
          sql: The statement's text.

        Raises:
          Failure: The statement failed.
        """
        match = FIRST_WORD.match(sql)
        if match is None:
            raise Failure(1065, "42000", "Query was empty")
        handler = HANDLERS.get(match[1].upper(), Session.run_statement)
        return await handler(self, sql)

    async def run_select(self, sql: str) -> Answer:
        """Run a SELECT, which may ask the server about itself."""
        if "@@" in sql:
            answer = self.system_variables(COMMENT.sub(" ", sql))
            if answer is not None:
                return answer
        sleep = SLEEP.match(sql)
        if sleep is not None:
            return await self.sleep(sql, float(sleep[1]))
        if "WAIT_FOR_LOG_POSITION" in sql.upper():
            wait = WAIT.match(COMMENT.sub(" ", sql))
            if wait is None:
                raise syntax_error("near 'WAIT_FOR_LOG_POSITION'")
            return await self.wait_for_position(wait[1], float(wait[2]))
        return await self.run_statement(sql)

    async def sleep(self, sql: str, seconds: float) -> Answer:
        """Answer SELECT SLEEP, which holds a slot."""
        limit = self.time_limit(sql) or None
        await self.server.begin_work()
        try:
            async with asyncio.timeout(limit):
                await asyncio.sleep(seconds)
        except TimeoutError:
            raise TIME_EXCEEDED from None
        finally:
            self.server.end_work()
        return rows_answer(("SLEEP",), [(0,)])

    def system_variables(self, sql: str) -> RowsAnswer | None:
        """Answer a SELECT of system variables only, or return None."""
        joined = JOINED_VARIABLES.match(sql)
        if joined is not None:
            return self.joined_variables(*joined.groups())
        body = sql.strip().rstrip(";").strip()[len("SELECT") :]
        body = re.sub(r"\s+LIMIT\s+\d+$", "", body, flags=re.IGNORECASE)
        names: list[str] = []
        values: list[Scalar] = []
        for item in body.split(","):
            match = VARIABLE_ITEM.match(item)
            if match is None:
                return None
            names.append(match[2] or item.strip())
            values.append(self.system_variable(match[1].lower()))
        return rows_answer(tuple(names), [tuple(values)])

    def joined_variables(
        self, separator: str, items: str, alias: str | None
    ) -> RowsAnswer | None:
        """Answer CONCAT_WS of system variables only, or return None."""
        matches = [VARIABLE_ITEM.match(item) for item in items.split(",")]
        names = [match[1] for match in matches if match and not match[2]]
        if len(names) < len(matches):
            return None
        values = [self.system_variable(name.lower()) for name in names]
        text = separator.join(str(v) for v in values if v is not None)
        return rows_answer((alias or "CONCAT_WS",), [(text,)])

    def system_variable(self, name: str) -> Scalar:
        """Return the value of a system variable of server or session."""
        if name in self.server.variables:
            return self.server.variables[name]()
        if name == "autocommit":
            return int(self.autocommit)
        return self.variables.get(name)

    def variable(self, name: str) -> Scalar:
        """Return a variable by its name with `@` or `@@` in front."""
        if name.startswith("@@"):
            return self.system_variable(name[2:])
        return self.variables.user.get(name[1:])

    async def wait_for_position(self, text: str, seconds: float) -> Answer:
        """Answer WAIT_FOR_LOG_POSITION."""
        term = await self.server.wait_for_position(text, seconds)
        return rows_answer(("WAIT_FOR_LOG_POSITION",), [(term,)])

    async def run_statement(self, sql: str) -> Answer:
        """Run a statement on the data."""
        bound = self.server.database.statements.bind(sql)
        limit = self.time_limit(sql)
        if not limit:
            return await self.run_bound(sql, bound)
        try:
            async with asyncio.timeout(limit):
                return await self.run_bound(sql, bound)
        except TimeoutError:
            raise TIME_EXCEEDED from None

    def time_limit(self, sql: str) -> float:
        """Return the seconds that a statement may take; 0 for no limit."""
        hint = HINTED_TIME.search(sql) if "/*+" in sql else None
        milliseconds = (
            int(hint[1])
            if hint
            else self.variables.system["max_execution_time"]
        )
        assert isinstance(milliseconds, (int, float))
        return milliseconds / MILLISECONDS

    async def run_bound(self, sql: str, bound: Bound) -> Answer:
        """Run a translated statement."""
        match bound.compiled.kind:
            case StatementKind.READ:
                return await self.read(sql, bound)
            case StatementKind.LOCKING_READ:
                return await self.locking_read(sql, bound)
            case StatementKind.SCHEMA:
                self.commit()
        return await self.write(sql, bound)

    async def read(self, sql: str, bound: Bound) -> Answer:
        """Run a query that takes no lock."""
        transaction = self.current_transaction()
        await self.server.begin_work()
        try:
            self.require_alive(transaction)
            return self.query(sql, bound, transaction)
        finally:
            self.server.end_work()

    async def locking_read(self, sql: str, bound: Bound) -> Answer:
        """Run a SELECT … FOR UPDATE."""
        transaction = self.current_transaction()
        if transaction is None:
            return await self.read(sql, bound)
        await self.lock(transaction)
        return await self.read(sql, bound)

    def query(
        self, sql: str, bound: Bound, transaction: Transaction | None
    ) -> RowsAnswer:
        """Run a query at once."""
        in_writer = transaction is not None and transaction.holds_lock
        self.record(sql, transaction, writes=False)
        found = self.server.database.query(
            bound.compiled, bound.values, self.context(bound), in_writer
        )
        kinds = final_kinds(found.names, bound.compiled.columns, found.rows)
        rows = format_decimals(kinds, found.rows)
        return RowsAnswer(found.names, kinds, rows)

    async def write(self, sql: str, bound: Bound) -> Answer:
        """Run a write, in its own transaction if none is open."""
        self.server.require_writable()
        changes_schema = bound.compiled.kind is StatementKind.SCHEMA
        transaction = None if changes_schema else self.current_transaction()
        if transaction is not None:
            return await self.write_in(transaction, sql, bound)
        transaction = self.server.new_transaction()
        try:
            answer = await self.write_in(transaction, sql, bound)
            position = self.server.commit(transaction)
        finally:
            self.server.rollback(transaction)
        if position is not None:
            return attrs.evolve(answer, info=f"position={position}")
        return answer

    async def write_in(
        self, transaction: Transaction, sql: str, bound: Bound
    ) -> OkAnswer:
        """Run a write in a transaction."""
        await self.lock(transaction)
        await self.server.begin_work()
        try:
            self.require_alive(transaction)
            return self.change(transaction, sql, bound)
        finally:
            self.server.end_work()

    def change(
        self, transaction: Transaction, sql: str, bound: Bound
    ) -> OkAnswer:
        """Run a write at once."""
        record = self.record(sql, transaction, writes=True)
        try:
            result = self.server.database.write(
                bound.compiled, bound.values, self.context(bound)
            )
        except Failure:
            record.fate = record.fate.ROLLED_BACK
            transaction.executed.remove(record)
            raise
        transaction.statements.extend(result.statements)
        transaction.affected_rows += result.affected_rows
        if bound.compiled.kind is StatementKind.SCHEMA:
            transaction.changes_schema = True
        if result.last_insert_id and not bound.compiled.explicit_ids:
            self.last_insert_id = result.last_insert_id
        return OkAnswer(result.affected_rows, result.last_insert_id)

    async def lock(self, transaction: Transaction) -> None:
        """Make a transaction the one that may write."""
        if transaction.holds_lock:
            return
        self.require_alive(transaction)
        self.server.require_writable()
        seconds = self.variables.system["innodb_lock_wait_timeout"]
        assert isinstance(seconds, (int, float))
        if not await self.server.lock(transaction, seconds):
            self.rollback()
            raise LOCK_WAIT_TIMEOUT

    def require_alive(self, transaction: Transaction | None) -> None:
        """Refuse to go on in a transaction that the server rolled back."""
        if transaction is not None and transaction.aborted:
            raise READ_ONLY

    def current_transaction(self) -> Transaction | None:
        """Return the open transaction; open one if autocommit is off."""
        if self.transaction is None and not self.autocommit:
            self.transaction = self.server.new_transaction()
        return self.transaction

    def context(self, bound: Bound) -> StatementContext:
        """Return what a statement's result depends on besides the data."""
        context = StatementContext(
            now=datetime.datetime.now(datetime.UTC).replace(
                microsecond=0, tzinfo=None
            ),
            seed=self.server.randomness.getrandbits(64),
            last_insert_id=self.last_insert_id,
            connection_id=self.connection_id,
            database=self.server.database.name,
        )
        for name in bound.compiled.variables:
            context.variables[name] = self.variable(name)
        return context

    def record(
        self, sql: str, transaction: Transaction | None, writes: bool
    ) -> ExecutedStatement:
        """Note that a statement runs."""
        record = self.server.record(
            self.connection_id, transaction, sql, writes
        )
        if transaction is not None:
            transaction.executed.append(record)
        return record

    async def begin(self, sql: str) -> Answer:
        """Run BEGIN or START TRANSACTION."""
        self.commit()
        self.transaction = self.server.new_transaction()
        return OkAnswer()

    async def run_commit(self, sql: str) -> Answer:
        """Run COMMIT."""
        await self.server.process.wait()
        position = self.commit()
        info = f"position={position}" if position is not None else ""
        return OkAnswer(info=info)

    def commit(self) -> object | None:
        """Commit the open transaction; return its position if it wrote."""
        transaction, self.transaction = self.transaction, None
        if transaction is None:
            return None
        return self.server.commit(transaction)

    async def run_rollback(self, sql: str) -> Answer:
        """Run ROLLBACK or ROLLBACK TO."""
        savepoint = ROLLBACK_TO.match(sql)
        if savepoint is None:
            self.rollback()
            return OkAnswer()
        transaction = self.transaction
        name = savepoint[1].lower()
        if transaction is None or name not in transaction.savepoints:
            raise Failure(1305, "42000", f"SAVEPOINT {name} does not exist")
        self.require_alive(transaction)
        self.server.rollback_to(transaction, transaction.savepoints[name])
        return OkAnswer()

    def rollback(self) -> None:
        """Roll the open transaction back."""
        transaction, self.transaction = self.transaction, None
        if transaction is not None:
            self.server.rollback(transaction)

    async def savepoint(self, sql: str) -> Answer:
        """Run SAVEPOINT or RELEASE SAVEPOINT."""
        match = SAVEPOINT.match(sql)
        if match is None:
            raise syntax_error("near 'SAVEPOINT'")
        transaction = self.current_transaction()
        if transaction is not None:
            name = match[1].lower()
            if sql.lstrip()[:7].upper() == "RELEASE":
                transaction.savepoints.pop(name, None)
            else:
                transaction.savepoints[name] = len(transaction.statements)
        return OkAnswer()

    async def set_variables(self, sql: str) -> Answer:
        """Run SET."""
        body = COMMENT.sub(" ", sql).strip().rstrip(";")[len("SET") :]
        if NO_ASSIGNMENT.match(body):
            return OkAnswer()
        for item in COMMAS.split(body):
            match = ASSIGNMENT.match(item)
            if match is None:
                raise syntax_error(f"near '{item.strip()[:40]}'")
            scope = (match[1] or match[2] or "").upper()
            await self.assign(scope, match[3], match[4].lower(), match[5])
        return OkAnswer()

    async def assign(
        self, scope: str, user_mark: str, name: str, text: str
    ) -> None:
        """Set one variable to the value of a text."""
        if user_mark:
            self.variables.user[name] = await self.evaluate(text)
            return
        value = literal_value(text)
        if scope == "GLOBAL" and name == "group_term":
            self.server.fence(value)
        elif scope == "GLOBAL" and name == "group_primary":
            self.server.announce(str(value))
        elif scope == "GLOBAL":
            self.variables.get(name)
        elif name == "autocommit":
            self.set_autocommit(bool(value))
        else:
            self.variables.set(name, value)

    async def evaluate(self, text: str) -> Scalar:
        """Return the value of an expression."""
        answer = await self.run_statement(f"SELECT {text}")
        assert isinstance(answer, RowsAnswer)
        value = answer.rows[0][0]
        assert value is None or isinstance(value, (int, float, str, bytes))
        return value

    def set_autocommit(self, value: bool) -> None:
        """Switch autocommit; switching it on commits."""
        if value and not self.autocommit:
            self.commit()
        self.autocommit = value

    async def use(self, database: str) -> None:
        """Choose the database.

        Raises:
          Failure: The server does not hold it.
        """
        if database and database.lower() != self.server.database.name.lower():
            raise unknown_database(database)
        self.database = database or None

    async def run_use(self, sql: str) -> Answer:
        """Run USE."""
        await self.use(sql.split(None, 1)[1].strip(" ;`"))
        return OkAnswer()

    async def run_show(self, sql: str) -> Answer:
        """Run SHOW or DESCRIBE."""
        return show.answer(self, COMMENT.sub(" ", sql))

    async def kill(self, sql: str) -> Answer:
        """Run KILL."""
        self.server.kill(int(sql.split()[-1].strip(";")))
        return OkAnswer()

    def reset(self) -> None:
        """Roll back and restore the state of a new connection."""
        self.rollback()
        self.variables.reset()
        self.autocommit = True
        self.last_insert_id = 0

    def close(self) -> None:
        """Roll back what is open."""
        self.rollback()


def rows_answer(
    names: tuple[str, ...], rows: list[tuple[Scalar, ...]]
) -> RowsAnswer:
    """Return rows whose kinds follow from the values."""
    found: list[tuple[object, ...]] = list(rows)
    return RowsAnswer(names, final_kinds(names, (), found), found)


Handler = Callable[[Session, str], Awaitable[Answer]]
HANDLERS: dict[str, Handler] = {
    "SELECT": Session.run_select,
    "SET": Session.set_variables,
    "BEGIN": Session.begin,
    "START": Session.begin,
    "COMMIT": Session.run_commit,
    "ROLLBACK": Session.run_rollback,
    "SAVEPOINT": Session.savepoint,
    "RELEASE": Session.savepoint,
    "USE": Session.run_use,
    "SHOW": Session.run_show,
    "DESCRIBE": Session.run_show,
    "DESC": Session.run_show,
    "KILL": Session.kill,
}
