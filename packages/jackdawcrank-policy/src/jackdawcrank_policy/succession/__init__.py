"""Replacement of the primary of a group whose servers fence themselves."""

from jackdawcrank_policy.succession.choose_successor import (
    FrozenServer,
    NoSuccessor,
    Successor,
    choose_successor,
)
from jackdawcrank_policy.succession.claim import (
    CLAIM_TTL_SECONDS,
    Claim,
    claim_key,
    next_claim,
)
from jackdawcrank_policy.succession.election import (
    CompareReplicas,
    Election,
    ElectionStep,
    OrderPromotion,
)
from jackdawcrank_policy.succession.listing_completeness import (
    ENTRY_RETURN_SECONDS,
    ListingCompleteness,
)
from jackdawcrank_policy.succession.primary_suspicion import (
    FailureKind,
    PrimarySuspicion,
)
from jackdawcrank_policy.succession.replacement_strategy import (
    PrimaryContact,
    ReplacementStrategy,
    replacement_strategy,
)
from jackdawcrank_policy.succession.switchover_trigger import (
    MIN_LAG_SECONDS,
    SwitchoverTrigger,
)

__all__ = [
    "CLAIM_TTL_SECONDS",
    "ENTRY_RETURN_SECONDS",
    "MIN_LAG_SECONDS",
    "Claim",
    "CompareReplicas",
    "Election",
    "ElectionStep",
    "FailureKind",
    "FrozenServer",
    "ListingCompleteness",
    "NoSuccessor",
    "OrderPromotion",
    "PrimaryContact",
    "PrimarySuspicion",
    "ReplacementStrategy",
    "Successor",
    "SwitchoverTrigger",
    "claim_key",
    "choose_successor",
    "next_claim",
    "replacement_strategy",
]
