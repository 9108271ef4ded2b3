"""Claims a group's first term and takes over abandoned claims."""

from jackdawcrank.groups.group_context import GroupContext
from jackdawcrank.groups.group_probes import GroupProbes
from jackdawcrank.groups.group_store import StoreUnavailable
from jackdawcrank.groups.promotion_driver import PromotionDriver
from jackdawcrank.timer import Subscription
from jackdawcrank_policy.acknowledgement import Quorum
from jackdawcrank_policy.coordination import (
    PREPARING_TAKEOVER_SECONDS,
    takeover_delay,
    takeover_rank,
)
from jackdawcrank_policy.promotion import PromotionCause
from jackdawcrank_policy.values import GroupPhase, GroupRow

BOOTSTRAP_RETRY_SECONDS = 0.5
COORDINATOR_TIMEOUT_SECONDS = 0.4
RETRY_SECONDS = 1.0


class ClaimWatch:
    """Bootstraps a group and completes promotions that were abandoned.

    A claim is abandoned if its coordinator stops before the term is open.

    Attributes:
      context: The group.
      probes: The probes of the group's servers.
      driver: The group's promotions.
    """

    def __init__(
        self,
        context: GroupContext,
        probes: GroupProbes,
        driver: PromotionDriver,
    ) -> None:
        self.context = context
        self.probes = probes
        self.driver = driver
        self.takeover_call: Subscription | None = None
        self.bootstrap_call: Subscription | None = None

    def start(self) -> None:
        """Start checking whether the group still has no row."""
        self.bootstrap_call = self.context.timer.call_later(
            BOOTSTRAP_RETRY_SECONDS, self.try_bootstrap
        )

    def close(self) -> None:
        """Cancel the planned bootstrap and takeover."""
        for call in (self.takeover_call, self.bootstrap_call):
            if call is not None:
                call.close()

    async def try_bootstrap(self, now: float) -> None:
        """Elect the first primary of a group that has no row."""
        if self.context.closed or self.context.row is not None:
            return
        position = takeover_rank(self.context.vm, "", self.context.homes)
        needed = Quorum(len(self.context.servers)).fence_count
        if position is not None and len(self.probes.reports()) >= needed:
            await self.context.pause(takeover_delay(position))
            await self.bootstrap()
        self.start()

    async def bootstrap(self) -> None:
        """Claim the first term if the store has no row of the group."""
        if self.context.row is not None or self.driver.busy:
            return
        found = await self.context.store.read(self.context.spec.name)
        if isinstance(found, StoreUnavailable):
            self.context.block("the store does not answer")
        elif found is None and self.context.row is None:
            await self.driver.promote(PromotionCause.BOOTSTRAP)

    def update_row(self, row: GroupRow) -> None:
        """Plan a takeover in case a claimed term is never opened.

        Args:
          row: The newest row.
        """
        if row.phase is not GroupPhase.PREPARING:
            return
        position = self.context.takeover_rank
        if position is not None:
            delay = PREPARING_TAKEOVER_SECONDS + takeover_delay(position)
            self.schedule_takeover(delay)

    def schedule_takeover(self, delay_seconds: float) -> None:
        """Schedule the takeover check, replacing an earlier schedule."""
        if self.takeover_call is not None:
            self.takeover_call.close()
        self.takeover_call = self.context.timer.call_later(
            delay_seconds, self.try_takeover
        )

    async def try_takeover(self, now: float) -> None:
        """Claim the next term if the coordinator abandoned its claim."""
        row = self.context.row
        if self.context.closed or row is None:
            return
        if row.phase is not GroupPhase.PREPARING:
            return
        if self.driver.busy or await self.is_coordinated(row):
            self.schedule_takeover(RETRY_SECONDS)
            return
        if self.context.row != row or self.driver.busy:
            return
        self.schedule_takeover(RETRY_SECONDS)
        await self.driver.promote(PromotionCause.TAKEOVER)

    async def is_coordinated(self, row: GroupRow) -> bool:
        """Return whether the coordinator still drives the promotion."""
        if row.coordinator == self.context.vm:
            return False
        answer = await self.context.peers.ask_suspicion(
            row.coordinator,
            self.context.spec.name,
            COORDINATOR_TIMEOUT_SECONDS,
        )
        return answer is not None and answer.coordinating
