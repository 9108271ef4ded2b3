"""A stored row of the configuration."""

from collections.abc import Mapping
from typing import Any

import attrs


@attrs.frozen
class Entry:
    """A row of the configuration as stored by its newest change.

    Attributes:
      document: The row's JSON value.
      version: The version of the change that wrote it.
      actor: Who made that change.
      at: When it was made, in seconds since the epoch on the writer's clock.
    """

    document: Mapping[str, Any]
    version: int
    actor: str
    at: float
