"""Options that a caller gives with a statement."""

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
    """An option's value does not fit.

    Attributes:
      detail: A sentence for people that names the option.
    """

    detail: str


@attrs.frozen
class Options:
    """What a caller asked for with one statement.

    Attributes:
      session: The signed session token; empty for none.
      max_age_ms: The age in milliseconds that a read may have.
      request_id: The caller's id of a write; empty for none.
      repeatable: Whether the statement may be run a second time.
      deadline_ms: The longest that the statement may take, in milliseconds.
    """

    session: str = ""
    max_age_ms: int | None = None
    request_id: str = ""
    repeatable: bool | None = None
    deadline_ms: int | None = None

    def with_defaults(self, defaults: "Options") -> "Options":
        """Return these options, with defaults where they state nothing.

        Args:
          defaults: The connection's defaults.
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
    """A value cannot be read."""


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
    """Return the options among some named values.

    Args:
      pairs: Values by name; names that are no options are ignored.
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
    """Return the options among a statement's query attributes.

    Args:
      attributes: The attributes by name.
    """
    if not attributes:
        return NO_OPTIONS
    return read_options({k: str(v) for k, v in attributes.items()})


def decode_value(text: str) -> str:
    """Return a sqlcommenter value without its escapes.

    Args:
      text: The value as it stands between the quotes.
    """
    return urllib.parse.unquote(text.replace("\\'", "'"))
