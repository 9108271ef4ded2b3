"""Errors that a backend server answers with."""

import re
import sqlite3

import attrs


@attrs.frozen
class Failure(Exception):  # noqa: N818
    """A statement's error, as the protocol carries it.

    Attributes:
      code: The MySQL error code.
      sqlstate: The five-character SQLSTATE.
      message: The message for people.
    """

    code: int
    sqlstate: str
    message: str


READ_ONLY = Failure(
    1290,
    "HY000",
    "The MySQL server is running with the --read-only option so it cannot"
    " execute this statement",
)
LOCK_WAIT_TIMEOUT = Failure(
    1205,
    "HY000",
    "Lock wait timeout exceeded; try restarting transaction",
)
TIME_EXCEEDED = Failure(
    3024,
    "HY000",
    "Query execution was interrupted, maximum statement execution time"
    " exceeded",
)
TOO_MANY_CONNECTIONS = Failure(1040, "08004", "Too many connections")


def unknown_error(message: str) -> Failure:
    """Return the general error 1105 with a message."""
    return Failure(1105, "HY000", message)


def syntax_error(message: str) -> Failure:
    """Return the syntax error 1064 with a message."""
    return Failure(
        1064, "42000", f"You have an error in your SQL syntax; {message}"
    )


def unknown_database(name: str) -> Failure:
    """Return the error for a database that the server does not hold."""
    return Failure(1049, "42000", f"Unknown database '{name}'")


@attrs.frozen
class Pattern:
    """How one kind of SQLite message becomes a MySQL error.

    Attributes:
      regex: Matches SQLite's message.
      code: The MySQL error code.
      sqlstate: The SQLSTATE.
      template: The MySQL message; `{0}` is the first group of the
        match and `{1}` the database's name.
    """

    regex: re.Pattern[str]
    code: int
    sqlstate: str
    template: str


def pattern(regex: str, code: int, sqlstate: str, template: str) -> Pattern:
    """Return a pattern from the source of its regular expression."""
    return Pattern(re.compile(regex), code, sqlstate, template)


PATTERNS = (
    pattern(
        r"UNIQUE constraint failed: (.+)",
        1062,
        "23000",
        "Duplicate entry for key '{0}'",
    ),
    pattern(
        r"NOT NULL constraint failed: \w+\.(\w+)",
        1048,
        "23000",
        "Column '{0}' cannot be null",
    ),
    pattern(
        r"FOREIGN KEY constraint failed()",
        1452,
        "23000",
        "Cannot add or update a child row: a foreign key constraint fails",
    ),
    pattern(
        r"CHECK constraint failed: (.+)",
        3819,
        "HY000",
        "Check constraint '{0}' is violated.",
    ),
    pattern(
        r"no such table: (?:main\.)?(\S+)",
        1146,
        "42S02",
        "Table '{1}.{0}' doesn't exist",
    ),
    pattern(
        r"no such column: (\S+)",
        1054,
        "42S22",
        "Unknown column '{0}' in 'field list'",
    ),
    pattern(
        r"has no column named (\S+)",
        1054,
        "42S22",
        "Unknown column '{0}' in 'field list'",
    ),
    pattern(
        r"ambiguous column name: (\S+)",
        1052,
        "23000",
        "Column '{0}' in field list is ambiguous",
    ),
    pattern(
        r"table [`\"\[]?(\w+)[`\"\]]? already exists",
        1050,
        "42S01",
        "Table '{0}' already exists",
    ),
    pattern(
        r"duplicate column name: (\S+)",
        1060,
        "42S21",
        "Duplicate column name '{0}'",
    ),
    pattern(
        r"index (\S+) already exists",
        1061,
        "42000",
        "Duplicate key name '{0}'",
    ),
    pattern(
        r"no such function: (\S+)",
        1305,
        "42000",
        "FUNCTION {0} does not exist",
    ),
    pattern(
        r"has \d+ columns but \d+ values|\d+ values for \d+ columns()",
        1136,
        "21S01",
        "Column count doesn't match value count at row 1",
    ),
    pattern(
        r"(.*(?:syntax error|incomplete input|unrecognized token).*)",
        1064,
        "42000",
        "You have an error in your SQL syntax; {0}",
    ),
)


def from_sqlite(error: sqlite3.Error, database: str) -> Failure:
    """Return the MySQL error that stands for an error of SQLite.

    Args:
      error: SQLite's error.
      database: The name of the database that the statement ran in.
    """
    text = str(error)
    for candidate in PATTERNS:
        match = candidate.regex.search(text)
        if match:
            message = candidate.template.format(match[1] or "", database)
            return Failure(candidate.code, candidate.sqlstate, message)
    return unknown_error(text)
