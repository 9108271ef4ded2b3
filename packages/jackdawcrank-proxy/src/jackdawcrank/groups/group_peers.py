"""Requests that coordination sends to proxies on other VMs."""

from typing import Protocol

from jackdawcrank_policy.detection import PrimaryEvidence
from jackdawcrank_policy.values import GroupRow


class GroupPeers(Protocol):
    """Requests to other VMs, each limited by a timeout."""

    async def give_up_lease(
        self, vm: str, group: str, term: int, timeout_seconds: float
    ) -> bool:
        """Make a VM give up its leases below a term.

        Returns False unless the VM has confirmed it in time.
        """

    async def ask_suspicion(
        self, vm: str, group: str, timeout_seconds: float
    ) -> PrimaryEvidence | None:
        """Return a VM's evidence on the primary; None without an answer."""

    async def announce_row(
        self, vm: str, row: GroupRow, version: int, timeout_seconds: float
    ) -> bool:
        """Send a VM a row that was written to the store.

        Returns whether the VM has confirmed it.
        """
