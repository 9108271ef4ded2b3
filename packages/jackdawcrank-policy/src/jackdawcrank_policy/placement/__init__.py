"""Selection of the server for a statement."""

from jackdawcrank_policy.placement.choose_server import (
    Distance,
    ServerCandidate,
    choose_server,
)
from jackdawcrank_policy.placement.drain_window import DrainWindow
from jackdawcrank_policy.placement.outcome_health import (
    HealthChange,
    OutcomeHealth,
    ServerEjected,
    ServerReadmitted,
)
from jackdawcrank_policy.placement.server_condition import ServerCondition

__all__ = [
    "Distance",
    "DrainWindow",
    "HealthChange",
    "OutcomeHealth",
    "ServerCandidate",
    "ServerCondition",
    "ServerEjected",
    "ServerReadmitted",
    "choose_server",
]
