"""The state of a group as its coordinator reports it."""

import attrs

from jackdawcrank_policy.detection import PrimaryHealth
from jackdawcrank_policy.values import GroupRow


@attrs.frozen
class GroupStatus:
    """A group's row and what stands in its way.

    Attributes:
      row: The newest row; None before the first.
      health: How the primary looks to this VM.
      promoting: Whether this VM drives a promotion.
      blocked: Why a promotion that is called for cannot go on; empty if
        nothing stands in its way.
      divergent_entries: For each server that returned with entries that the
        open term dropped, how many they were.
    """

    row: GroupRow | None
    health: PrimaryHealth
    promoting: bool
    blocked: str = ""
    divergent_entries: dict[str, int] = attrs.field(factory=dict)
