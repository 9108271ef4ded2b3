"""The split of a group's connections over its home proxies."""

from jackdawcrank_policy.budget.budget_ledger import (
    LINGER_SECONDS,
    BudgetLedger,
)
from jackdawcrank_policy.budget.connection_set import (
    ConnectionSet,
    ConnectionState,
)
from jackdawcrank_policy.budget.seats import (
    SEATS,
    departed,
    plan_seats,
    seat_share,
    writer_names,
)

__all__ = [
    "LINGER_SECONDS",
    "SEATS",
    "BudgetLedger",
    "ConnectionSet",
    "ConnectionState",
    "departed",
    "plan_seats",
    "seat_share",
    "writer_names",
]
