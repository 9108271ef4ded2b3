"""Declaration of a key of a resource spec with its default and limits."""

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
    """Return the attrs field of a spec key.

    Args:
      help_text: The description of the key, including its unit.
      default: The value used if the key is absent; without a default the key
        is required.
      minimum: The smallest allowed number.
      maximum: The largest allowed number.
      choices: The allowed strings; empty allows any string.
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
    """Return the JSON key of an attribute, such as `slotsPerServer`."""
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)
