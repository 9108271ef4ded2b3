"""Backend servers as a proxy of the model reaches them."""

import asyncio
from collections.abc import Callable

import attrs

from jackdawcrank.backend.server_control import (
    Accepted,
    Refused,
    Unreachable,
)
from jackdawcrank_policy.values import Position, ServerReport
from jackdawcrank_standins.history import ModelServer
from writes_model.network import Network

CONFIRM_PAUSE_SECONDS = 0.005

Act = Callable[[], bool]


@attrs.define
class ModelControl:
    """Probes, fences and announces over the modelled network.

    Attributes:
      vm: The VM of the proxy.
      server: The server.
      network: What lies between.
      name: The server's name.
    """

    vm: str
    server: ModelServer
    network: Network
    name: str = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.name = self.server.name

    async def refused(self) -> bool:
        """Return whether the host refuses, after the time that it takes."""
        if self.name not in self.network.refusing:
            return False
        if not self.network.reaches(self.vm, self.name):
            return False
        await asyncio.sleep(2 * self.network.latency(self.vm, self.name))
        return True

    async def probe(self, timeout_seconds: float) -> ServerReport | Unreachable:
        """Ask for term, role and position."""
        if await self.refused():
            return Unreachable("connection refused")
        report = await self.network.request(
            self.vm, self.name, self.server.report, timeout_seconds
        )
        return report or Unreachable("no answer in time")

    async def fence(
        self, term: int, timeout_seconds: float
    ) -> Accepted | Refused | Unreachable:
        """Raise the server's fence."""
        return await self.order(
            lambda: self.server.fence(term), timeout_seconds
        )

    async def announce_primary(
        self, term: int, offset: int, primary: str, timeout_seconds: float
    ) -> Accepted | Refused | Unreachable:
        """Tell the server who leads a term."""
        return await self.order(
            lambda: self.server.announce(term, offset, primary),
            timeout_seconds,
        )

    async def order(
        self, act: Act, timeout_seconds: float
    ) -> Accepted | Refused | Unreachable:
        """Have the server act on its state."""
        if await self.refused():
            return Unreachable("connection refused")
        accepted = await self.network.request(
            self.vm, self.name, act, timeout_seconds
        )
        if accepted is None:
            return Unreachable("no answer in time")
        return Accepted() if accepted else Refused(1105, "refused")

    async def confirm(
        self, position: Position, timeout_seconds: float
    ) -> int | None:
        """Return the server's term once it holds a position, else None."""
        clock = asyncio.get_running_loop().time
        deadline = clock() + timeout_seconds
        while clock() < deadline:
            term = await self.network.request(
                self.vm,
                self.name,
                lambda: self.server.confirm(position),
                deadline - clock(),
            )
            if term is not None:
                return term
            await asyncio.sleep(CONFIRM_PAUSE_SECONDS)
        return None
