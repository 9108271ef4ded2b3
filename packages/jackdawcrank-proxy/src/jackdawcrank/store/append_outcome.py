"""What can come of a write to the change log."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from jackdawcrank.store.outcome import StoreUnavailable
from jackdawcrank_policy.configuration import Change


@dataclasses.dataclass(frozen=True)
class Appended:
    """The change is committed.

    Attributes:
      version: Its version.
      change: The change.
    """

    version: int
    change: Change


@dataclasses.dataclass(frozen=True)
class ChangeConflict:
    """The row is not as the writer expected; nothing was written.

    Attributes:
      current: The row's value; None if there is no row.
      actor: Who wrote it; empty if that is no longer known.
      version: The version of the change that wrote it; 0 for no row.
      at: When it was written, in seconds since the epoch.
    """

    current: Mapping[str, Any] | None
    actor: str
    version: int
    at: float = 0.0


@dataclasses.dataclass(frozen=True)
class Unchanged:
    """The resource already is as the writer wants it; nothing was written.

    Attributes:
      version: The version of the change that made it so.
      actor: Who made that change; empty if that is no longer known.
    """

    version: int
    actor: str = ""


AppendOutcome = Appended | Unchanged | ChangeConflict | StoreUnavailable
