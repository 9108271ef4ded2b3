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
_YES = frozenset({"yes", "true", "1", "on"})
_NO = frozenset({"no", "false", "0", "off"})


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

    def over(self, defaults: "Options") -> "Options":
        """Return these options, with defaults where they state nothing.

        Args:
          defaults: The connection's defaults.
        """
        if defaults == NO_OPTIONS:
            return self
        if self == NO_OPTIONS:
            return defaults
        stated = {
            name: value
            for name, value in attrs.asdict(self).items()
            if value not in ("", None)
        }
        return attrs.evolve(defaults, **stated)


NO_OPTIONS = Options()


class _Malformed(Exception):
    """A value cannot be read."""


def _number(limit: int) -> Callable[[str], int]:
    def read(text: str) -> int:
        if not re.fullmatch(r"[0-9]{1,10}", text) or int(text) > limit:
            raise _Malformed(f"is not a whole number from 0 to {limit}")
        return int(text)

    return read


def _flag(text: str) -> bool:
    if text.lower() in _YES:
        return True
    if text.lower() in _NO:
        return False
    raise _Malformed("is not yes or no")


def _request_id(text: str) -> str:
    if not is_request_id(text):
        raise _Malformed("is not 1 to 64 letters, digits or ._:/-")
    return text


def _session(text: str) -> str:
    if len(text) > MAX_TOKEN_LENGTH:
        raise _Malformed(f"is longer than {MAX_TOKEN_LENGTH} characters")
    return text


READERS: dict[str, Callable[[str], Any]] = {
    "session": _session,
    "max_age_ms": _number(MAX_AGE_MS),
    "request_id": _request_id,
    "repeatable": _flag,
    "deadline_ms": _number(MAX_DEADLINE_MS),
}


def read_options(pairs: Mapping[str, str]) -> Options | MalformedOption:
    """Return the options among some named values.

    Args:
      pairs: Values by name; names that are no options are ignored.
    """
    values = {}
    for name, text in pairs.items():
        reader = READERS.get(name)
        if reader is None:
            continue
        try:
            values[name] = reader(text)
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
