"""Classifies statements by keywords, without parsing SQL."""

import functools
import re

from jackdawcrank.statements.front_kind import FrontKind
from jackdawcrank.statements.statement import Statement

CACHE_ENTRIES = 4096
MAX_CACHED_LENGTH = 2048

_QUOTED = re.compile(
    r"""'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*"|`(?:[^`]|``)*`"""
    r"""|/\*(?!!).*?\*/|--(?=\s|$)[^\n]*|\#[^\n]*""",
    re.DOTALL,
)
_FIRST_KEYWORD = re.compile(r"[\s(]*([A-Za-z]+)")
_READ_KEYWORDS = frozenset({"select", "table", "values"})
_SHOW_KEYWORDS = frozenset({"show", "describe", "desc", "explain"})
_DATA_KEYWORDS = frozenset(
    {"insert", "update", "delete", "replace", "call", "do"}
)
_SCHEMA_KEYWORDS = frozenset(
    {"create", "alter", "drop", "truncate", "rename", "grant", "revoke"}
    | {"analyze", "optimize", "repair", "flush"}
)
_TRANSACTION_KEYWORDS = frozenset({"savepoint", "release"})
_UNSUPPORTED_KEYWORDS = frozenset(
    {"lock", "unlock", "xa", "load", "prepare", "execute", "deallocate"}
    | {"handler", "kill", "shutdown", "reset", "change", "install"}
)
# Locking and writing clauses, executable comments (/*!), NEXTVAL and SLEEP make
# a SELECT more than a plain read of committed data.
_NON_PLAIN_READ = re.compile(
    r"\bfor\s+update\b|\bfor\s+share\b|\block\s+in\s+share\b|\binto\b"
    r"|/\*!|\bnextval\b|\bsleep\s*\(",
    re.IGNORECASE,
)
_STATEFUL = re.compile(
    r":=|\bget_lock\b|\brelease_(?:all_)?locks?\b|\btemporary\b"
    r"|\bsql_calc_found_rows\b|\bfound_rows\b|(?<!@)@[a-z_`'\"]",
    re.IGNORECASE,
)
_ANALYZE = re.compile(
    r"\s*(?:explain|describe|desc)\s+analyze\b", re.IGNORECASE
)
_WITH_WRITE = re.compile(r"\b(?:insert|update|delete|replace)\b", re.IGNORECASE)
_SHOW_REQUEST = re.compile(
    r"\s*show\s+request\s+(?:'([^'\\]{1,64})'|\"([^\"\\]{1,64})\")\s*;?\s*$",
    re.IGNORECASE,
)
_SESSION_TOKEN = re.compile(
    r"\s*select\s+@@(?:session\.)?session_token\s*;?\s*$", re.IGNORECASE
)
_LAST_INSERT_ID = re.compile(
    r"\s*select\s+last_insert_id\(\s*\)\s*;?\s*$", re.IGNORECASE
)
_CONNECTION_ID = re.compile(
    r"\s*select\s+connection_id\(\s*\)\s*;?\s*$", re.IGNORECASE
)
_SHOW_WARNINGS = re.compile(
    r"\s*show\s+(?:warnings|errors)\b[^;]*;?\s*$", re.IGNORECASE
)
_USE = re.compile(r"\s*use\s+`?([\w$-]+)`?\s*;?\s*$", re.IGNORECASE)
_START_TRANSACTION = re.compile(r"\s*start\s+transaction\b", re.IGNORECASE)
_PLAIN_COMMIT = re.compile(r"\s*commit(?:\s+work)?\s*;?\s*$", re.IGNORECASE)
_PLAIN_ROLLBACK = re.compile(r"\s*rollback(?:\s+work)?\s*;?\s*$", re.IGNORECASE)
_ROLLBACK_TO = re.compile(r"\s*rollback\s+(?:work\s+)?to\b", re.IGNORECASE)


def classify(sql: str) -> Statement:
    """Return the classification of a statement.

    A statement that is not recognized is classified as a write.

    Args:
      sql: The statement without the comment that holds its options.
    """
    if len(sql) > MAX_CACHED_LENGTH:
        return _classify(sql)
    return _classify_cached(sql)


def _classify(sql: str) -> Statement:
    unquoted = _QUOTED.sub(" ", sql)
    keyword = first_keyword(unquoted)
    if not keyword:
        empty = not unquoted.strip(" \t\r\n;")
        return Statement(FrontKind.EMPTY if empty else FrontKind.WRITE)
    if _has_second_statement(unquoted):
        return Statement(FrontKind.MULTIPLE)
    by_keyword = _classify_by_keyword(sql, unquoted, keyword)
    if by_keyword is not None:
        return by_keyword
    stateful = _STATEFUL.search(unquoted) is not None
    return Statement(_data_kind(unquoted, keyword), stateful)


_classify_cached = functools.lru_cache(CACHE_ENTRIES)(_classify)


def first_keyword(sql: str) -> str:
    """Return a statement's first keyword in lower case; empty if none.

    Args:
      sql: The statement, with or without comments.
    """
    match = _FIRST_KEYWORD.match(_QUOTED.sub(" ", sql))
    return match[1].lower() if match else ""


def _has_second_statement(unquoted: str) -> bool:
    _, separator, rest = unquoted.partition(";")
    return bool(separator and rest.strip(" \t\r\n;"))


def _classify_by_keyword(
    sql: str, unquoted: str, keyword: str
) -> Statement | None:
    match keyword:
        case "set":
            return Statement(FrontKind.SET)
        case "begin":
            return Statement(FrontKind.BEGIN)
        case "start" if _START_TRANSACTION.match(unquoted):
            return Statement(FrontKind.BEGIN)
        case "commit":
            return _transaction_end(
                FrontKind.COMMIT, _PLAIN_COMMIT.match(unquoted)
            )
        case "rollback" if not _ROLLBACK_TO.match(unquoted):
            return _transaction_end(
                FrontKind.ROLLBACK, _PLAIN_ROLLBACK.match(unquoted)
            )
        case "use":
            return _use(sql)
        case "show":
            return _classify_show(sql)
        case "select":
            return _classify_select(sql)
        case _ if keyword in _UNSUPPORTED_KEYWORDS:
            return Statement(FrontKind.UNSUPPORTED)
    return None


def _transaction_end(kind: FrontKind, plain: object) -> Statement:
    # COMMIT AND CHAIN and COMMIT RELEASE would bind the session to one
    # backend connection.
    return Statement(kind if plain else FrontKind.UNSUPPORTED)


def _use(sql: str) -> Statement:
    match = _USE.match(sql)
    if match is None:
        return Statement(FrontKind.UNSUPPORTED)
    return Statement(FrontKind.USE, argument=match[1])


def _classify_show(sql: str) -> Statement | None:
    match = _SHOW_REQUEST.match(sql)
    if match is not None:
        return Statement(FrontKind.SHOW_REQUEST, argument=match[1] or match[2])
    if _SHOW_WARNINGS.match(sql):
        return Statement(FrontKind.SHOW_WARNINGS)
    return None


def _classify_select(sql: str) -> Statement | None:
    if _SESSION_TOKEN.match(sql):
        return Statement(FrontKind.SESSION_TOKEN)
    if _LAST_INSERT_ID.match(sql):
        return Statement(FrontKind.LAST_INSERT_ID)
    if _CONNECTION_ID.match(sql):
        return Statement(FrontKind.CONNECTION_ID)
    return None


def _data_kind(unquoted: str, keyword: str) -> FrontKind:
    if keyword in _READ_KEYWORDS:
        writes = _NON_PLAIN_READ.search(unquoted) or _STATEFUL.search(unquoted)
        return FrontKind.WRITE if writes else FrontKind.READ
    if keyword in _SHOW_KEYWORDS:
        runs = _ANALYZE.match(unquoted) and _WITH_WRITE.search(unquoted)
        return FrontKind.WRITE if runs else FrontKind.READ
    if keyword == "with":
        writes = _WITH_WRITE.search(unquoted) or _NON_PLAIN_READ.search(
            unquoted
        )
        return FrontKind.WRITE if writes else FrontKind.READ
    if keyword in _SCHEMA_KEYWORDS:
        return FrontKind.IMPLICIT_COMMIT
    return FrontKind.WRITE
