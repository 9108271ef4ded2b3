"""What coordination asks of the proxies on other VMs."""

from typing import Protocol

from jackdawcrank_policy.detection import PrimaryEvidence
from jackdawcrank_policy.values import GroupRow


class GroupPeers(Protocol):
    """The other VMs, each reached within a time-out."""

    async def give_up_lease(
        self, vm: str, group: str, term: int, timeout_seconds: float
    ) -> bool:
        """Have a VM give up its leases below a term; False if it did not."""

    async def ask_suspicion(
        self, vm: str, group: str, timeout_seconds: float
    ) -> PrimaryEvidence | None:
        """Return what a VM has seen of the group's primary."""

    async def announce_row(
        self, vm: str, row: GroupRow, version: int, timeout_seconds: float
    ) -> bool:
        """Tell a VM of a row that was written to the store."""
