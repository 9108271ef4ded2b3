"""Options that a caller sets for a statement."""

import re
import urllib.parse
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from jackdawcrank_policy.requests import is_request_id

MAX_TOKEN_LENGTH = 512
MAX_AGE_MS = 24 * 60 * 60 * 1000
MAX_DEADLINE_MS = 60 * 60 * 1000
_TRUE_WORDS = frozenset({"yes", "true", "1", "on"})
_FALSE_WORDS = frozenset({"no", "false", "0", "off"})


@attrs.frozen
class MalformedOption:
    """The value of an option is invalid.

    Attributes:
      detail: A human-readable description that names the option.
    """

    detail: str


@attrs.frozen
class Options:
    """The options of one statement.

    Attributes:
      session: The signed session token; empty if not set.
      max_age_ms: The maximum age of the data that a read returns, in
        milliseconds; None if not set.
      request_id: The caller's request id of a write; empty if not set.
      repeatable: Whether the statement may be run more than once; None if not
        set.
      deadline_ms: The time limit of the statement in milliseconds; None if not
        set.
    """

    session: str = ""
    max_age_ms: int | None = None
    request_id: str = ""
    repeatable: bool | None = None
    deadline_ms: int | None = None

    def with_defaults(self, defaults: "Options") -> "Options":
        """Return these options, completed with defaults.

        Args:
          defaults: The values of options that are not set.
        """
        if defaults == NO_OPTIONS:
            return self
        if self == NO_OPTIONS:
            return defaults
        explicit = {
            name: value
            for name, value in attrs.asdict(self).items()
            if value not in ("", None)
        }
        return attrs.evolve(defaults, **explicit)


NO_OPTIONS = Options()


class _Malformed(Exception):
    """The value of an option is invalid."""


def _integer_parser(limit: int) -> Callable[[str], int]:
    def parse_integer(text: str) -> int:
        if not re.fullmatch(r"[0-9]{1,10}", text) or int(text) > limit:
            raise _Malformed(f"is not a whole number from 0 to {limit}")
        return int(text)

    return parse_integer


def _parse_flag(text: str) -> bool:
    if text.lower() in _TRUE_WORDS:
        return True
    if text.lower() in _FALSE_WORDS:
        return False
    raise _Malformed("is not yes or no")


def _parse_request_id(text: str) -> str:
    if not is_request_id(text):
        raise _Malformed("is not 1 to 64 letters, digits or ._:/-")
    return text


def _parse_session_token(text: str) -> str:
    if len(text) > MAX_TOKEN_LENGTH:
        raise _Malformed(f"is longer than {MAX_TOKEN_LENGTH} characters")
    return text


OPTION_PARSERS: dict[str, Callable[[str], Any]] = {
    "session": _parse_session_token,
    "max_age_ms": _integer_parser(MAX_AGE_MS),
    "request_id": _parse_request_id,
    "repeatable": _parse_flag,
    "deadline_ms": _integer_parser(MAX_DEADLINE_MS),
}


def read_options(pairs: Mapping[str, str]) -> Options | MalformedOption:
    """Return the options in a mapping of names to values.

    Args:
      pairs: The values by name; unknown names are ignored.
    """
    values = {}
    for name, text in pairs.items():
        parser = OPTION_PARSERS.get(name)
        if parser is None:
            continue
        try:
            values[name] = parser(text)
        except _Malformed as error:
            return MalformedOption(f"option {name} {error}")
    return Options(**values) if values else NO_OPTIONS


def options_from_attributes(
    attributes: Mapping[str, Any],
) -> Options | MalformedOption:
    """Return the options in a statement's query attributes.

    Args:
      attributes: The attributes by name.
    """
    if not attributes:
        return NO_OPTIONS
    return read_options({k: str(v) for k, v in attributes.items()})


def decode_value(text: str) -> str:
    """Return the decoded form of a sqlcommenter value.

    Args:
      text: The escaped text between the quotes.
    """
    return urllib.parse.unquote(text.replace("\\'", "'"))
