"""Who coordinates a group, and what keeps its servers in line."""

from jackdawcrank_policy.coordination.alignment import (
    Announcement,
    alignment,
    divergent_tail,
)
from jackdawcrank_policy.coordination.row_history import RowHistory
from jackdawcrank_policy.coordination.takeover import (
    PREPARING_TAKEOVER_SECONDS,
    RANK_DELAY_SECONDS,
    acting_coordinator,
    rank,
    takeover_delay,
)
from jackdawcrank_policy.coordination.upkeep import upkeep

__all__ = [
    "PREPARING_TAKEOVER_SECONDS",
    "RANK_DELAY_SECONDS",
    "Announcement",
    "RowHistory",
    "acting_coordinator",
    "alignment",
    "divergent_tail",
    "rank",
    "takeover_delay",
    "upkeep",
]
