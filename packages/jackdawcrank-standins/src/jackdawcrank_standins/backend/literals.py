"""Separates a statement's literals from its shape."""

import re

import attrs

SCANNER = re.compile(
    r"""
    (?P<raw>\b[xXbBnN]'[^']*'|`[^`]*`)
    |(?P<bytes>\b_binary\s*(?:'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*"))
    |(?P<comment>/\*.*?\*/|(?:--\s|\#)[^\n]*)
    |(?P<string>(?:\b_utf8(?:mb4)?\s*)?(?:'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*"))
    |(?P<number>(?<![\w.$@])(?:\d+(?:\.\d*)?|\.\d+)(?:[eE][+-]?\d+)?(?!\w))
    """,
    re.VERBOSE | re.DOTALL | re.IGNORECASE,
)
PLACEHOLDER = re.compile(
    r"""`[^`]*`|'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*\"|/\*.*?\*/"""
    r"""|(?:--\s|\#)[^\n]*|(\?)""",
    re.DOTALL,
)
ESCAPE = re.compile(r"\\(.)", re.DOTALL)
ESCAPED = {"0": "\0", "n": "\n", "r": "\r", "t": "\t", "b": "\b", "Z": "\x1a"}

Value = int | float | str | bytes | None


@attrs.frozen
class Shape:
    """A statement with its literals taken out.

    Attributes:
      key: The text with `?` in the place of each literal, no comments.
      values: The literals' values in the order of the text.
    """

    key: str
    values: tuple[Value, ...]


def unescape(match: re.Match[str]) -> str:
    """Return the character that an escape sequence stands for."""
    return ESCAPED.get(match[1], match[1])


def string_value(literal: str) -> str | bytes:
    """Return the value of a quoted string literal.

    Args:
      literal: The literal, quotes included; bytes that are no UTF-8 stand in
        it as lone surrogates.
    """
    text = unquoted(literal)
    if text.isascii():
        return text
    try:
        text.encode()
    except UnicodeEncodeError:
        return text.encode(errors="surrogateescape")
    return text


def unquoted(literal: str) -> str:
    """Return the text of a quoted string literal."""
    quote = literal[-1]
    body = literal[literal.index(quote) + 1 : -1]
    if quote in body:
        body = body.replace(quote * 2, quote)
    if "\\" in body:
        body = ESCAPE.sub(unescape, body)
    return body


def number_value(literal: str) -> int | float:
    """Return the value of a numeric literal."""
    if literal.isdecimal():
        return int(literal)
    return float(literal)


def split(sql: str) -> Shape:
    """Return the shape and the literals of a statement.

    Args:
      sql: The statement in MySQL's dialect.
    """
    values: list[Value] = []

    def replace(match: re.Match[str]) -> str:
        kind = match.lastgroup
        if kind == "string":
            values.append(string_value(match[0]))
            return "?"
        if kind == "bytes":
            text = unquoted(match[0])
            values.append(text.encode(errors="surrogateescape"))
            return "?"
        if kind == "number":
            values.append(number_value(match[0]))
            return "?"
        return match[0] if kind == "raw" else " "

    key = SCANNER.sub(replace, sql).strip()
    return Shape(key, tuple(values))


def fill(text: str, literals: tuple[str, ...]) -> str:
    """Return a text with literals in place of each `?` outside quotes.

    Args:
      text: A shape's key or a prepared statement.
      literals: SQL literals, one for each `?`.
    """
    remaining = iter(literals)
    return PLACEHOLDER.sub(
        lambda match: match[0] if match[1] is None else next(remaining), text
    )


def placeholder_count(text: str) -> int:
    """Return how many `?` a text has outside quotes and comments."""
    return sum(match[1] is not None for match in PLACEHOLDER.finditer(text))


def literal(value: Value) -> str:
    """Return the SQL literal of a value in MySQL's dialect."""
    match value:
        case None:
            return "NULL"
        case str():
            escaped = value.replace("\\", "\\\\").replace("'", "''")
            return f"'{escaped}'"
        case bytes():
            return f"x'{value.hex()}'"
    return repr(value)
