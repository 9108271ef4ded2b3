"""Answers SHOW and DESCRIBE."""

import re
from collections.abc import Callable
from typing import TYPE_CHECKING

from jackdawcrank_standins.backend import columns
from jackdawcrank_standins.backend.answers import RowsAnswer
from jackdawcrank_standins.backend.errors import Failure
from jackdawcrank_standins.backend.sqlite_dialect import quote

if TYPE_CHECKING:
    from jackdawcrank_standins.backend.session import Session

Rows = list[tuple[object, ...]]
NOT_SUPPORTED = Failure(1235, "42000", "This SHOW statement isn't supported")


def answer(session: "Session", sql: str) -> RowsAnswer:
    """Return the rows for a SHOW or DESCRIBE.

    Args:
      session: The session that asks.
      sql: The statement without comments.

    Raises:
      Failure: The statement is not known.
    """
    text = " ".join(sql.strip().rstrip(";").split())
    for pattern, respond in RESPONSES:
        match = pattern.match(text)
        if match is not None:
            return respond(session, match)
    raise NOT_SUPPORTED


def text_rows(names: tuple[str, ...], rows: Rows) -> RowsAnswer:
    """Return rows of text columns."""
    return RowsAnswer(names, (columns.TEXT,) * len(names), rows)


def like(pattern: str | None) -> re.Pattern[str]:
    """Return the regular expression for a pattern of LIKE."""
    escaped = re.escape(pattern or "%").replace("%", ".*").replace("_", ".")
    return re.compile(escaped + "$", re.IGNORECASE)


def sqlite_rows(session: "Session", sql: str, *values: str) -> Rows:
    """Return rows from the committed data."""
    return session.server.database.committed.execute(sql, values).fetchall()


def show_tables(session: "Session", match: re.Match[str]) -> RowsAnswer:
    """Answer SHOW TABLES."""
    wanted = like(match[1])
    rows = sqlite_rows(
        session,
        "SELECT name FROM sqlite_master WHERE type IN ('table', 'view')"
        " AND name NOT LIKE 'sqlite_%' ORDER BY name",
    )
    found: Rows = [row for row in rows if wanted.match(str(row[0]))]
    return text_rows((f"Tables_in_{session.server.database.name}",), found)


def show_databases(session: "Session", match: re.Match[str]) -> RowsAnswer:
    """Answer SHOW DATABASES."""
    return text_rows(("Database",), [(session.server.database.name,)])


def show_warnings(session: "Session", match: re.Match[str]) -> RowsAnswer:
    """Answer SHOW WARNINGS; there are never any."""
    return text_rows(("Level", "Code", "Message"), [])


def show_variables(session: "Session", match: re.Match[str]) -> RowsAnswer:
    """Answer SHOW VARIABLES."""
    wanted = like(match[1])
    names = sorted({*session.variables.system, *session.server.variables})
    rows: Rows = [
        (name, str(session.system_variable(name)))
        for name in names
        if wanted.match(name)
    ]
    return text_rows(("Variable_name", "Value"), rows)


def show_status(session: "Session", match: re.Match[str]) -> RowsAnswer:
    """Answer SHOW STATUS."""
    wanted = like(match[1])
    server = session.server
    values = {
        "Threads_connected": len(server.connections),
        "Threads_running": server.running,
        "Log_divergent": server.divergent,
    }
    rows: Rows = [
        (name, str(value))
        for name, value in values.items()
        if wanted.match(name)
    ]
    return text_rows(("Variable_name", "Value"), rows)


def show_columns(session: "Session", match: re.Match[str]) -> RowsAnswer:
    """Answer SHOW COLUMNS and DESCRIBE."""
    table = match[1].strip("`")
    info = session.server.database.catalog.table(table)
    if info is None:
        name = f"{session.server.database.name}.{table}"
        raise Failure(1146, "42S02", f"Table '{name}' doesn't exist")
    rows: Rows = []
    for row in sqlite_rows(session, f"PRAGMA table_info({quote(table)})"):
        generated = str(row[1]).lower() == info.id_column
        rows.append(
            (
                row[1],
                "bigint" if generated else str(row[2]).lower(),
                "NO" if row[3] or row[5] else "YES",
                "PRI" if row[5] else "",
                row[4],
                "auto_increment" if generated else "",
            )
        )
    return text_rows(("Field", "Type", "Null", "Key", "Default", "Extra"), rows)


def show_create(session: "Session", match: re.Match[str]) -> RowsAnswer:
    """Answer SHOW CREATE TABLE with the translated definition."""
    table = match[1].strip("`")
    rows = sqlite_rows(
        session, "SELECT name, sql FROM sqlite_master WHERE name = ?", table
    )
    if not rows:
        raise Failure(1146, "42S02", f"Table '{table}' doesn't exist")
    return text_rows(("Table", "Create Table"), rows)


def show_processes(session: "Session", match: re.Match[str]) -> RowsAnswer:
    """Answer SHOW PROCESSLIST."""
    rows: Rows = [
        (str(number), str(connection.session.username or ""))
        for number, connection in sorted(session.server.connections.items())
    ]
    return text_rows(("Id", "User"), rows)


Responder = Callable[["Session", re.Match[str]], RowsAnswer]
LIKE = r"(?: LIKE ['\"]([^'\"]*)['\"])?"


def response(
    pattern: str, respond: Responder
) -> tuple[re.Pattern[str], Responder]:
    """Return a compiled pattern with what answers it."""
    return re.compile(pattern, re.IGNORECASE), respond


RESPONSES = (
    response(rf"SHOW (?:FULL )?TABLES(?: (?:FROM|IN) \S+)?{LIKE}", show_tables),
    response(r"SHOW (?:DATABASES|SCHEMAS)", show_databases),
    response(r"SHOW (?:COUNT\(\*\) )?(?:WARNINGS|ERRORS)", show_warnings),
    response(rf"SHOW (?:GLOBAL |SESSION )?VARIABLES{LIKE}", show_variables),
    response(rf"SHOW (?:GLOBAL |SESSION )?STATUS{LIKE}", show_status),
    response(
        r"SHOW (?:FULL )?(?:COLUMNS|FIELDS) (?:FROM|IN) (\S+)", show_columns
    ),
    response(r"SHOW CREATE TABLE (\S+)", show_create),
    response(r"SHOW (?:FULL )?PROCESSLIST", show_processes),
    response(r"DESC(?:RIBE)? (\S+)$", show_columns),
)
