"""Options in a trailing comment in sqlcommenter format."""

import re

import attrs

from jackdawcrank.statements.options import (
    NO_OPTIONS,
    OPTION_PARSERS,
    MalformedOption,
    Options,
    decode_value,
    read_options,
)

_TRAILING = re.compile(r"/\*((?:[^*]|\*(?!/))*)\*/\s*;?\s*\Z")
_PAIR = r"\s*([A-Za-z0-9_%.-]+)\s*=\s*'((?:[^'\\]|\\.)*)'\s*"
_PAIRS = re.compile(rf"{_PAIR}(?:,{_PAIR})*,?\s*\Z")
_ONE_PAIR = re.compile(_PAIR)
_OPTION_NAME = re.compile(
    r"(?<![\w.%-])(" + "|".join(OPTION_PARSERS) + r")\s*="
)


@attrs.frozen
class SplitStatement:
    """A statement and the options from its comment.

    Attributes:
      sql: The statement, without the comment if it contains options.
      options: The options.
    """

    sql: str
    options: Options


def split_options(sql: str) -> SplitStatement | MalformedOption:
    """Split the options in the trailing comment from a statement.

    A comment that names no option is left in the statement.

    Args:
      sql: The statement as the caller sent it.
    """
    if not sql.rstrip("; \t\r\n").endswith("*/"):
        return SplitStatement(sql, NO_OPTIONS)
    match = _TRAILING.search(sql)
    if match is None or not _OPTION_NAME.search(match[1]):
        return SplitStatement(sql, NO_OPTIONS)
    if not _PAIRS.match(match[1]):
        return MalformedOption("the options comment is malformed")
    return _parse_comment(sql[: match.start()].rstrip(), match[1])


def _parse_comment(sql: str, comment: str) -> SplitStatement | MalformedOption:
    pairs = _ONE_PAIR.findall(comment)
    names = [name for name, _ in pairs]
    repeated = {name for name in names if names.count(name) > 1}
    if repeated & OPTION_PARSERS.keys():
        return MalformedOption(
            f"option {min(repeated)} is given more than once"
        )
    options = read_options({k: decode_value(v) for k, v in pairs})
    if isinstance(options, MalformedOption):
        return options
    return SplitStatement(sql, options)
