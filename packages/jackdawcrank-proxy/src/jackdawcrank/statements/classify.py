"""Tells statements apart without parsing SQL."""

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
_FIRST_WORD = re.compile(r"[\s(]*([A-Za-z]+)")
_READ_WORDS = frozenset({"select", "table", "values"})
_SHOW_WORDS = frozenset({"show", "describe", "desc", "explain"})
_DATA_WORDS = frozenset({"insert", "update", "delete", "replace", "call", "do"})
_SCHEMA_WORDS = frozenset(
    {"create", "alter", "drop", "truncate", "rename", "grant", "revoke"}
    | {"analyze", "optimize", "repair", "flush"}
)
_TRANSACTION_WORDS = frozenset({"savepoint", "release"})
_UNSUPPORTED_WORDS = frozenset(
    {"lock", "unlock", "xa", "load", "prepare", "execute", "deallocate"}
    | {"handler", "kill", "shutdown", "reset", "change", "install"}
)
# Words that make a SELECT more than a plain read of committed data.
_WRITING_READ = re.compile(
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
    """Return what the front does with a statement.

    Anything doubtful is taken as a write.

    Args:
      sql: The statement without its options comment.
    """
    if len(sql) > MAX_CACHED_LENGTH:
        return _classify(sql)
    return _classify_cached(sql)


def _classify(sql: str) -> Statement:
    bare = _QUOTED.sub(" ", sql)
    word = first_word(bare)
    if not word:
        empty = not bare.strip(" \t\r\n;")
        return Statement(FrontKind.EMPTY if empty else FrontKind.WRITE)
    if _has_second_statement(bare):
        return Statement(FrontKind.MULTIPLE)
    special = _special(sql, bare, word)
    if special is not None:
        return special
    stateful = _STATEFUL.search(bare) is not None
    return Statement(_data_kind(bare, word), stateful)


_classify_cached = functools.lru_cache(CACHE_ENTRIES)(_classify)


def first_word(sql: str) -> str:
    """Return a statement's first word in lower case, or nothing.

    Args:
      sql: The statement, with or without comments.
    """
    match = _FIRST_WORD.match(_QUOTED.sub(" ", sql))
    return match[1].lower() if match else ""


def _has_second_statement(bare: str) -> bool:
    _, separator, rest = bare.partition(";")
    return bool(separator and rest.strip(" \t\r\n;"))


def _special(sql: str, bare: str, word: str) -> Statement | None:
    match word:
        case "set":
            return Statement(FrontKind.SET)
        case "begin":
            return Statement(FrontKind.BEGIN)
        case "start" if _START_TRANSACTION.match(bare):
            return Statement(FrontKind.BEGIN)
        case "commit":
            return _ending(FrontKind.COMMIT, _PLAIN_COMMIT.match(bare))
        case "rollback" if not _ROLLBACK_TO.match(bare):
            return _ending(FrontKind.ROLLBACK, _PLAIN_ROLLBACK.match(bare))
        case "use":
            return _use(sql)
        case "show":
            return _special_show(sql)
        case "select":
            return _special_select(sql)
        case _ if word in _UNSUPPORTED_WORDS:
            return Statement(FrontKind.UNSUPPORTED)
    return None


def _ending(kind: FrontKind, plain: object) -> Statement:
    # COMMIT AND CHAIN and RELEASE would tie the session to one connection.
    return Statement(kind if plain else FrontKind.UNSUPPORTED)


def _use(sql: str) -> Statement:
    match = _USE.match(sql)
    if match is None:
        return Statement(FrontKind.UNSUPPORTED)
    return Statement(FrontKind.USE, argument=match[1])


def _special_show(sql: str) -> Statement | None:
    match = _SHOW_REQUEST.match(sql)
    if match is not None:
        return Statement(FrontKind.SHOW_REQUEST, argument=match[1] or match[2])
    if _SHOW_WARNINGS.match(sql):
        return Statement(FrontKind.SHOW_WARNINGS)
    return None


def _special_select(sql: str) -> Statement | None:
    if _SESSION_TOKEN.match(sql):
        return Statement(FrontKind.SESSION_TOKEN)
    if _LAST_INSERT_ID.match(sql):
        return Statement(FrontKind.LAST_INSERT_ID)
    if _CONNECTION_ID.match(sql):
        return Statement(FrontKind.CONNECTION_ID)
    return None


def _data_kind(bare: str, word: str) -> FrontKind:
    if word in _READ_WORDS:
        writes = _WRITING_READ.search(bare) or _STATEFUL.search(bare)
        return FrontKind.WRITE if writes else FrontKind.READ
    if word in _SHOW_WORDS:
        runs = _ANALYZE.match(bare) and _WITH_WRITE.search(bare)
        return FrontKind.WRITE if runs else FrontKind.READ
    if word == "with":
        writes = _WITH_WRITE.search(bare) or _WRITING_READ.search(bare)
        return FrontKind.WRITE if writes else FrontKind.READ
    if word in _SCHEMA_WORDS:
        return FrontKind.IMPLICIT_COMMIT
    return FrontKind.WRITE
