"""Which server a statement goes to."""

from jackdawcrank_policy.placement.choose_server import (
    Distance,
    ServerCandidate,
    choose_server,
)
from jackdawcrank_policy.placement.server_condition import ServerCondition

__all__ = ["ServerCandidate", "Distance", "ServerCondition", "choose_server"]
