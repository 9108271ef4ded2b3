"""Outcomes of an append to the change log."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from jackdawcrank.store.outcome import StoreUnavailable
from jackdawcrank_policy.configuration import Change


@dataclasses.dataclass(frozen=True)
class Appended:
    """The change is committed.

    Attributes:
      version: The version of the change.
      change: The committed change.
    """

    version: int
    change: Change


@dataclasses.dataclass(frozen=True)
class ChangeConflict:
    """The row does not match the expected state; nothing was written.

    Attributes:
      current: The row's value; None if there is no row.
      actor: The actor of the last change; empty if its entry is gone from the
        change log.
      version: The version of the last change; 0 if there is no row.
      at: The time of the last change, in seconds since the epoch.
    """

    current: Mapping[str, Any] | None
    actor: str
    version: int
    at: float = 0.0


@dataclasses.dataclass(frozen=True)
class Unchanged:
    """The resource already has the requested state; nothing was written.

    Attributes:
      version: The version of the change that set this state.
      actor: The actor of that change; empty if its entry is gone from the
        change log.
    """

    version: int
    actor: str = ""


AppendOutcome = Appended | Unchanged | ChangeConflict | StoreUnavailable
