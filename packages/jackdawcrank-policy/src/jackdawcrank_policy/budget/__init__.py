"""Division of a group's connection limit among its home proxies."""

from jackdawcrank_policy.budget.connection_budget import (
    STALE_CONNECTION_SECONDS,
    ConnectionBudget,
)
from jackdawcrank_policy.budget.connection_set import (
    ConnectionSet,
    ConnectionState,
)
from jackdawcrank_policy.budget.quotas import (
    QUOTA_COUNT,
    assign_quotas,
    departed_vms,
    quota_size,
    writer_names,
)

__all__ = [
    "QUOTA_COUNT",
    "STALE_CONNECTION_SECONDS",
    "ConnectionBudget",
    "ConnectionSet",
    "ConnectionState",
    "assign_quotas",
    "departed_vms",
    "quota_size",
    "writer_names",
]
