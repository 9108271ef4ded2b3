"""Hints between proxies that a lost store answers again."""

import asyncio
import random

from jackdawcrank.relay.home_messages import Kind, pack
from jackdawcrank.relay.home_router import HomeRouter
from jackdawcrank.relay.member_rows import MemberRows
from jackdawcrank.relay.store_health import StoreHealth
from jackdawcrank.tasks import cancel_and_wait
from jackdawcrank_policy.homes import Member

# With three, a hint reaches more than nine tenths of a region's VMs in a few
# steps; the others notice the store's return by themselves.
FANOUT = 3
# Processes notice the end of a shorter outage by themselves at once.
MIN_OUTAGE_SECONDS = 1.0


class StoreHints:
    """Tells a few random VMs of this region that the store answers again.

    A VM that regains the store through a hint hints at others in turn. Long
    pauses between the calls of each VM to a lost store therefore do not delay
    the fleet's return.

    Attributes:
      router: Holds the streams to other VMs.
      members: Holds the known VMs.
      store_health: Tells when the store is regained.
      rng: Selects the VMs.
      pending: Whether the store was regained before any other VM was known.
      tasks: The hints that are being sent.
    """

    def __init__(
        self,
        router: HomeRouter,
        members: MemberRows,
        store_health: StoreHealth,
        rng: random.Random,
    ) -> None:
        self.router = router
        self.members = members
        self.store_health = store_health
        self.rng = rng
        self.pending = False
        self.tasks: set[asyncio.Task[None]] = set()
        store_health.on_regained = self.regained

    def regained(self, outage_seconds: float) -> None:
        """Hint at the end of an outage, as soon as other VMs are known.

        Args:
          outage_seconds: The length of the outage.
        """
        if outage_seconds >= MIN_OUTAGE_SECONDS:
            self.pending = True
            self.send_pending()

    def send_pending(self) -> None:
        """Send the hints that wait for other VMs to be known."""
        if not self.pending:
            return
        own = self.members.own
        others = [
            one
            for one in self.members.members.values()
            if one.region == own.region and one.vm != own.vm
        ]
        if not others:
            return
        self.pending = False
        chosen = self.rng.sample(others, min(FANOUT, len(others)))
        for member in chosen:
            task = asyncio.get_running_loop().create_task(self.hint(member))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def hint(self, member: Member) -> None:
        """Send a hint to one VM, unless it cannot be reached."""
        stream = await self.router.connected_stream(member)
        if stream is not None:
            stream.send(pack(0, Kind.STORE_ANSWERS))

    async def close(self) -> None:
        """Cancel the hints that are being sent."""
        await cancel_and_wait(self.tasks)
