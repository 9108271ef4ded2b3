"""Term leases, which permit a proxy to act for a database group's term."""

from jackdawcrank_policy.lease.lease_state import LeaseState
from jackdawcrank_policy.lease.lease_table import (
    CLOCK_DRIFT,
    LEASE_SECONDS,
    LEASE_WAIT_SECONDS,
    LeaseTable,
)

__all__ = [
    "CLOCK_DRIFT",
    "LEASE_WAIT_SECONDS",
    "LEASE_SECONDS",
    "LeaseState",
    "LeaseTable",
]
