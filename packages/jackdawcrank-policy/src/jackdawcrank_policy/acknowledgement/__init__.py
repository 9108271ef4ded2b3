"""Rules for acknowledging writes and reads of the primary to a caller."""

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
