"""Term leases: when a proxy may act for a database group's term."""

from jackdawcrank_policy.lease.lease_state import LeaseState
from jackdawcrank_policy.lease.lease_table import (
    DRIFT,
    LEASE_CLOSING_SECONDS,
    LEASE_SECONDS,
    LeaseTable,
)

__all__ = [
    "DRIFT",
    "LEASE_CLOSING_SECONDS",
    "LEASE_SECONDS",
    "LeaseState",
    "LeaseTable",
]
