"""One entry of the change log."""

from collections.abc import Mapping
from typing import Any

import attrs

from jackdawcrank_policy.values import (
    CallerClassSpec,
    GroupRow,
    GroupSpec,
    ServerSpec,
)

Value = GroupSpec | ServerSpec | CallerClassSpec | GroupRow


@attrs.frozen
class Change:
    """A committed change of one resource or of one group's row.

    Attributes:
      version: The change's sequence number in the total order of changes.
      kind: The kind of row, see `Kind`; unknown kinds of newer releases are
        kept.
      name: The row's name.
      deleted: Whether the row was removed.
      value: The decoded new row; None if it was deleted, cannot be decoded or
        is of an unknown kind.
      document: The new row as stored.
      token: The writer's token, unique to the write.
      actor: Who made the change.
      at: The writer's wall clock time, in seconds since the epoch.
    """

    version: int
    kind: str
    name: str
    deleted: bool = False
    value: Value | None = None
    document: Mapping[str, Any] = attrs.field(factory=dict)
    token: str = ""
    actor: str = ""
    at: float = 0.0
