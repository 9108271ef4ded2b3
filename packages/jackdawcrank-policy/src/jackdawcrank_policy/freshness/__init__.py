"""Evidence of the data that each backend server holds."""

from jackdawcrank_policy.freshness.answer_check import answer_is_valid
from jackdawcrank_policy.freshness.evidence import Evidence
from jackdawcrank_policy.freshness.position_history import PositionHistory
from jackdawcrank_policy.freshness.primary_history import PrimaryHistory
from jackdawcrank_policy.freshness.server_evidence import ServerEvidence

__all__ = [
    "Evidence",
    "PositionHistory",
    "PrimaryHistory",
    "ServerEvidence",
    "answer_is_valid",
]
