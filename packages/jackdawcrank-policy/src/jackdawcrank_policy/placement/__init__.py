"""Selection of the server for a statement."""

from jackdawcrank_policy.placement.choose_server import (
    Distance,
    ServerCandidate,
    choose_server,
)
from jackdawcrank_policy.placement.server_condition import ServerCondition

__all__ = ["Distance", "ServerCandidate", "ServerCondition", "choose_server"]
