"""The proxies of the model as one of them reaches the others."""

import asyncio
from collections.abc import Mapping
from typing import Protocol

import attrs

from jackdawcrank.groups import GroupAgent
from jackdawcrank_policy.detection import PrimaryEvidence
from jackdawcrank_policy.values import GroupRow
from writes_model.network import Network


class HasAgent(Protocol):
    """A proxy of the model."""

    agent: GroupAgent


@attrs.define
class ModelPeers:
    """Asks the agents of other VMs over the modelled network.

    Attributes:
      vm: The asking VM.
      proxies: The proxies by VM.
      network: What lies between.
      gives_up: Whether writers can be asked to give up their leases.
    """

    vm: str
    proxies: Mapping[str, HasAgent]
    network: Network
    gives_up: bool = True

    async def give_up_lease(
        self, vm: str, group: str, term: int, timeout_seconds: float
    ) -> bool:
        """Have a VM give up its leases below a term."""
        if not self.gives_up:
            await asyncio.sleep(timeout_seconds)
            return False
        agent = self.proxies[vm].agent
        answer = await self.network.request(
            self.vm,
            vm,
            lambda: agent.give_up_requested(term),
            timeout_seconds,
        )
        return bool(answer)

    async def ask_suspicion(
        self, vm: str, group: str, timeout_seconds: float
    ) -> PrimaryEvidence | None:
        """Return what a VM has seen of the primary."""
        agent = self.proxies[vm].agent
        asked = await self.network.request(
            self.vm,
            vm,
            lambda: asyncio.create_task(agent.suspicion_asked()),
            timeout_seconds,
        )
        if asked is None:
            return None
        done, _ = await asyncio.wait({asked}, timeout=timeout_seconds)
        return asked.result() if done else None

    async def announce_row(
        self, vm: str, row: GroupRow, version: int, timeout_seconds: float
    ) -> bool:
        """Tell a VM of a row, which it then fetches from this one."""
        fetched = await self.network.request(
            self.vm, vm, lambda: True, timeout_seconds
        )
        if not fetched:
            return False
        agent = self.proxies[vm].agent

        def take() -> bool:
            agent.row_announced(row, version)
            return True

        answer = await self.network.request(self.vm, vm, take, timeout_seconds)
        return bool(answer)
