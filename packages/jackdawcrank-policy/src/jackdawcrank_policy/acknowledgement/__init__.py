"""When a proxy may tell a caller that a write or read stands."""

from jackdawcrank_policy.acknowledgement.acknowledge import (
    AwaitTerm,
    NeedConfirmation,
    acknowledge,
    acknowledge_read,
    resolve_write,
)
from jackdawcrank_policy.acknowledgement.quorum import Quorum

__all__ = [
    "AwaitTerm",
    "NeedConfirmation",
    "Quorum",
    "acknowledge",
    "acknowledge_read",
    "resolve_write",
]
