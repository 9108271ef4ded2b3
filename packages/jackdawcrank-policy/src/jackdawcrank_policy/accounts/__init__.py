"""Client accounts: their keys and how current the knowledge of them is."""

from jackdawcrank_policy.accounts.identify import (
    PROOF_MARGIN_SECONDS,
    Identification,
    Identified,
    UnknownKey,
    Unproven,
    identify,
    is_proven,
    needs_key,
)
from jackdawcrank_policy.accounts.proven_time import ProvenTime
from jackdawcrank_policy.accounts.store_clock import (
    MAX_DRIFT_SHARE,
    StoreClock,
)

__all__ = [
    "MAX_DRIFT_SHARE",
    "PROOF_MARGIN_SECONDS",
    "Identification",
    "Identified",
    "ProvenTime",
    "StoreClock",
    "UnknownKey",
    "Unproven",
    "identify",
    "is_proven",
    "needs_key",
]
