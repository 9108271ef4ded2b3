"""Coordination of the database groups whose home is this VM."""

from jackdawcrank.groups.group_agent import GroupAgent
from jackdawcrank.groups.group_peers import GroupPeers
from jackdawcrank.groups.group_status import GroupStatus
from jackdawcrank.groups.group_store import (
    Conflict,
    GroupStore,
    Stored,
    StoreUnavailable,
)
from jackdawcrank.groups.switch_over_outcome import (
    Incomplete,
    Moved,
    Refused,
    SwitchOverOutcome,
)

__all__ = [
    "Conflict",
    "GroupAgent",
    "GroupPeers",
    "GroupStatus",
    "GroupStore",
    "Incomplete",
    "Moved",
    "Refused",
    "StoreUnavailable",
    "Stored",
    "SwitchOverOutcome",
]
