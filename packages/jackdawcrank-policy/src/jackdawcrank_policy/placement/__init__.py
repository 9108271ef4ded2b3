"""Which server a statement goes to."""

from jackdawcrank_policy.placement.place import Candidate, Distance, choose
from jackdawcrank_policy.placement.server_condition import ServerCondition

__all__ = ["Candidate", "Distance", "ServerCondition", "choose"]
