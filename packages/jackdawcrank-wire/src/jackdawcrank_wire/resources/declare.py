"""Declares one key of a resource's spec with default, help and bounds."""

from collections.abc import Sequence
from typing import Any

import attrs


def key(
    help_text: str,
    *,
    default: Any = attrs.NOTHING,
    minimum: int | None = None,
    maximum: int | None = None,
    choices: Sequence[str] = (),
    pattern: str | None = None,
) -> Any:
    """Return the attrs field of a spec's key.

    Args:
      help_text: What the key sets, with its unit.
      default: The value where the key is absent; none makes it required.
      minimum: The least allowed number.
      maximum: The greatest allowed number.
      choices: The allowed strings; empty allows any.
      pattern: A regular expression that the whole string must match.
    """
    metadata = {
        "help": help_text,
        "minimum": minimum,
        "maximum": maximum,
        "choices": tuple(choices),
        "pattern": pattern,
    }
    return attrs.field(default=default, metadata=metadata)


def camel_case(name: str) -> str:
    """Return the JSON key of an attribute, as `slotsPerServer`."""
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)
