"""State of a group as reported by one of its homes."""

import attrs

from jackdawcrank_policy.detection import PrimaryHealth
from jackdawcrank_policy.values import GroupRow


@attrs.frozen
class GroupStatus:
    """A group's row, the health of its primary and obstacles to promotion.

    Attributes:
      row: The newest row; None before the first.
      health: The primary's health from the view of this VM.
      promoting: Whether this VM drives a promotion.
      blocked: Why a required promotion cannot proceed; empty if nothing
        blocks it.
      divergent_entries: The number of log entries, by server, that a
        returning server had and the open term does not contain.
    """

    row: GroupRow | None
    health: PrimaryHealth
    promoting: bool
    blocked: str = ""
    divergent_entries: dict[str, int] = attrs.field(factory=dict)
