"""Parses SET statements without a full SQL parser."""

import re

import attrs

_ITEM = (
    r"(?:'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\"|\([^)]*\)|[^,'\"(])+"
)
_ITEMS = re.compile(_ITEM)
_SET = re.compile(r"\s*set\s+(.*?)\s*;?\s*\Z", re.IGNORECASE | re.DOTALL)
_ASSIGNMENT = re.compile(
    r"\s*(?P<scope>global\s+|session\s+|local\s+|persist(?:_only)?\s+)?"
    r"(?P<at>@@(?:(?:session|local|global)\.)?|@)?"
    r"`?(?P<name>[A-Za-z_][\w.]*)`?\s*:?=\s*(?P<value>.+?)\s*\Z",
    re.IGNORECASE | re.DOTALL,
)
_NAMES = re.compile(r"\s*(?:names|character\s+set|charset)\b", re.IGNORECASE)
_TRANSACTION = re.compile(
    r"\s*(?:session\s+|local\s+)?transaction\b", re.IGNORECASE
)


@attrs.frozen
class Assignment:
    """One assignment of a SET statement.

    Attributes:
      name: The variable in lower case; `names` for SET NAMES and SET CHARACTER
        SET, `transaction` for SET TRANSACTION.
      value: The text of the value without enclosing quotes.
      user: Whether the variable is a user variable (`@name`).
      is_global: Whether the assignment has GLOBAL or PERSIST scope.
      text: The text of the assignment as written.
    """

    name: str
    value: str
    user: bool = False
    is_global: bool = False
    text: str = ""


def parse_set(sql: str) -> tuple[Assignment, ...] | None:
    """Return the assignments of a SET statement; None if not recognized.

    Args:
      sql: The statement.
    """
    match = _SET.match(sql)
    if match is None:
        return None
    body = match[1]
    if _TRANSACTION.match(body):
        return (Assignment("transaction", body, text=body),)
    items = [item.strip() for item in _ITEMS.findall(body)]
    assignments = tuple(_parse_item(item) for item in items if item)
    parsed = tuple(item for item in assignments if item is not None)
    return parsed if parsed and len(parsed) == len(assignments) else None


def _parse_item(item: str) -> Assignment | None:
    if _NAMES.match(item):
        return Assignment("names", item, text=item)
    match = _ASSIGNMENT.match(item)
    if match is None:
        return None
    at = (match["at"] or "").lower()
    scope = (match["scope"] or "").strip().lower()
    return Assignment(
        name=match["name"].lower(),
        value=_unquote(match["value"]),
        user=at == "@",
        is_global=scope.startswith(("global", "persist")) or "global" in at,
        text=item,
    )


def _unquote(text: str) -> str:
    if len(text) >= 2 and text[0] == text[-1] and text[0] in "'\"":
        return text[1:-1]
    return text
