"""Declaration of a settings key with its default, help and limits."""

from collections.abc import Sequence
from typing import Any

import attrs


def key(
    help_text: str,
    *,
    default: Any = attrs.NOTHING,
    minimum: float | None = None,
    maximum: float | None = None,
    choices: Sequence[str] = (),
    secret: bool = False,
    not_empty: bool = False,
    minimum_length: int = 0,
) -> Any:
    """Return the attrs field of a settings key.

    Args:
      help_text: The description of the key, including its unit.
      default: The value used if the key is absent; without a default the key
        is required.
      minimum: The smallest allowed number.
      maximum: The largest allowed number.
      choices: The allowed strings; empty allows any string.
      secret: Whether the value must not be printed.
      not_empty: Whether to reject an empty string or list.
      minimum_length: The minimum number of characters of the string, or of
        each string in the list.
    """
    metadata = {
        "help": help_text,
        "minimum": minimum,
        "maximum": maximum,
        "choices": tuple(choices),
        "secret": secret,
        "not_empty": not_empty,
        "minimum_length": minimum_length,
    }
    return attrs.field(default=default, metadata=metadata, repr=not secret)
