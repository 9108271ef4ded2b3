"""Declares one settings key with its default, help and bounds."""

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
      help_text: What the key sets, with its unit.
      default: The value where the key is absent; none makes it required.
      minimum: The least allowed number.
      maximum: The greatest allowed number.
      choices: The allowed strings; empty allows any.
      secret: Whether the value must not be printed.
      not_empty: Whether an empty string or list is refused.
      minimum_length: The least characters of the string, or of each string
        in the list.
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
