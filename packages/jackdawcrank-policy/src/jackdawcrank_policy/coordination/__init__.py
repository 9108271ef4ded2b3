"""Coordination of a group and reconciliation of its row and servers."""

from jackdawcrank_policy.coordination.alignment import (
    Announcement,
    divergent_tail,
    required_announcement,
)
from jackdawcrank_policy.coordination.reconciliation import reconcile_row
from jackdawcrank_policy.coordination.row_history import RowHistory
from jackdawcrank_policy.coordination.takeover import (
    PREPARING_TAKEOVER_SECONDS,
    RANK_DELAY_SECONDS,
    acting_coordinator,
    takeover_delay,
    takeover_rank,
)

__all__ = [
    "PREPARING_TAKEOVER_SECONDS",
    "RANK_DELAY_SECONDS",
    "Announcement",
    "RowHistory",
    "acting_coordinator",
    "required_announcement",
    "divergent_tail",
    "takeover_rank",
    "takeover_delay",
    "reconcile_row",
]
