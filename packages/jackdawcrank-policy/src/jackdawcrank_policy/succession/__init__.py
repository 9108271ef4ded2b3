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
from jackdawcrank_policy.succession.relief import LAG_SECONDS, Relief

__all__ = [
    "LAG_SECONDS",
    "Claim",
    "Doubt",
    "FrozenServer",
    "NoSuccessor",
    "PrimaryDoubt",
    "Relief",
    "Successor",
    "choose_successor",
    "next_claim",
]
