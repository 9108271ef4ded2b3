"""Replacing the primary of a group whose servers fence themselves."""

from jackdawcrank_policy.succession.choose_successor import (
    FrozenServer,
    NoSuccessor,
    Successor,
    choose_successor,
)
from jackdawcrank_policy.succession.claim import Claim, next_claim
from jackdawcrank_policy.succession.primary_doubt import (
    Doubt,
    PrimaryDoubt,
)

__all__ = [
    "Claim",
    "Doubt",
    "FrozenServer",
    "NoSuccessor",
    "PrimaryDoubt",
    "Successor",
    "choose_successor",
    "next_claim",
]
