"""The newest change of one row."""

from collections.abc import Mapping
from typing import Any

import attrs


@attrs.frozen
class Entry:
    """A row of the configuration as it stands in the store.

    Attributes:
      document: The row's JSON value.
      version: The version of the change that wrote it.
      actor: Who made that change.
      at: When, in seconds since the epoch by the writer's clock.
    """

    document: Mapping[str, Any]
    version: int
    actor: str
    at: float
