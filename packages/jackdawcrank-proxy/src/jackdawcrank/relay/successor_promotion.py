"""Election of a group's next primary and the orders to promote it."""

import asyncio
import enum
from collections.abc import Awaitable, Callable

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.claim_rows import ClaimRows, HeldClaim
from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.relay.replica_comparison import ReplicaComparison
from jackdawcrank.seams.commands import Demote
from jackdawcrank.seams.promotion_service import (
    PromotionResult,
    PromotionService,
)
from jackdawcrank_policy.succession import (
    CompareReplicas,
    Election,
    NoSuccessor,
)

POLL_SECONDS = 0.05
# An unanswered promotion order is repeated for this time, or until another
# process holds the claim.
PROMOTION_TIMEOUT_SECONDS = 8.0
# Time for a promotion to take effect; at the users' sites it takes up to 1 s.
PROMOTION_EFFECT_SECONDS = 3.0


class ReplacementResult(enum.Enum):
    """The result of an attempt to replace a primary."""

    DONE = "done"
    NOTHING_DONE = "nothing_done"
    UNANSWERED = "unanswered"
    """A promotion order may still take effect."""


@attrs.define
class OrderAttempts:
    """Orders that are repeated until one is accepted.

    Attributes:
      deadline: When to stop repeating, in seconds on the event loop's clock.
      unanswered: Whether an order got no answer, so that it may still take
        effect.
    """

    deadline: float
    unanswered: bool = False

    def may_repeat(self, answer: PromotionResult, now: float) -> bool:
        """Record the answer to an order; return whether to repeat the order.

        Args:
          answer: The answer.
          now: The current time in seconds.
        """
        self.unanswered |= answer is PromotionResult.UNANSWERED
        # Refused: another process holds the claim, or the server is down.
        return answer is not PromotionResult.REFUSED and now < self.deadline

    def result(self) -> ReplacementResult:
        """Return the result if no order was accepted."""
        if self.unanswered:
            return ReplacementResult.UNANSWERED
        return ReplacementResult.NOTHING_DONE


class SuccessorPromotion:
    """Promotes servers of one group under a claim.

    Attributes:
      group: The group.
      vm: This proxy's VM.
      claims: The claims on the succession.
      promotion_service: Takes the orders.
      refresh_servers: Reads the table of servers; returns whether the store
        answered.
      log: Records decisions.
    """

    def __init__(
        self,
        group: GroupRelay,
        vm: str,
        claims: ClaimRows,
        promotion_service: PromotionService,
        refresh_servers: Callable[[], Awaitable[bool]],
        log: DecisionLog,
    ) -> None:
        self.group = group
        self.control = group.control
        self.vm = vm
        self.claims = claims
        self.promotion_service = promotion_service
        self.refresh_servers = refresh_servers
        self.log = log
        self.loop = asyncio.get_running_loop()

    async def elect(
        self,
        held_claim: HeldClaim,
        old_primary: ConnectionPool | None,
        old_primary_answers: bool,
    ) -> tuple[ReplacementResult, HeldClaim]:
        """Promote the most advanced replica.

        Args:
          held_claim: The claim on the succession.
          old_primary: The failed primary, or None.
          old_primary_answers: Whether it still answers this process.

        Returns:
          The result, and the claim that is held now.
        """
        replicas = self.group.other_pools(old_primary)
        if await self.adopt_primary(replicas):
            return ReplacementResult.NOTHING_DONE, held_claim
        election = Election(self.group.group.confirming_replicas)
        comparison = ReplicaComparison(
            self.group, old_primary, self.refresh_servers, self.log
        )
        attempts = OrderAttempts(self.loop.time() + PROMOTION_TIMEOUT_SECONDS)
        while self.claims.in_force(held_claim):
            step = election.step(
                one.server.server_id for one in comparison.replicas()
            )
            if isinstance(step, CompareReplicas):
                refreshed = await comparison.compare(election)
                if refreshed or attempts.unanswered:
                    continue
                # Without the store, servers that joined are not known.
                step = NoSuccessor(())
            if isinstance(step, NoSuccessor):
                await self.give_up(
                    held_claim, step, comparison, attempts.unanswered
                )
                break
            if old_primary and old_primary_answers:
                # It may confirm commits until the promotion takes effect.
                old_primary_answers = False
                await self.control.send_command(
                    old_primary, Demote(comparison.term)
                )
                election.primary_stepped_down()
                continue
            if step.needs_new_token:
                renewed = await self.claims.claim(
                    self.group.name,
                    held_claim.claim.holder,
                    held_claim.claim.replaced,
                )
                if renewed is None:
                    break
                held_claim = renewed
                election.token_replaced()
            server_id = step.successor.server_id
            self.log.event(
                "successor_chosen",
                group=self.group.name,
                server=server_id,
                position=str(step.successor.position),
                token=held_claim.claim.token,
                term=comparison.term,
            )
            answer = await self.order(held_claim, server_id)
            election.order_sent(server_id)
            if answer is PromotionResult.DONE:
                result = await self.await_promotion(server_id)
                if result is ReplacementResult.DONE:
                    await comparison.resume(held_claim, server_id)
                return result, held_claim
            if not attempts.may_repeat(answer, self.loop.time()):
                break
            await asyncio.sleep(2 * POLL_SECONDS)
        return attempts.result(), held_claim

    async def give_up(
        self,
        held_claim: HeldClaim,
        step: NoSuccessor,
        comparison: ReplicaComparison,
        unanswered: bool,
    ) -> None:
        """End an election without a successor.

        Args:
          held_claim: The claim on the succession.
          step: Why there is none.
          comparison: The suspended replicas.
          unanswered: Whether an order of this election may still take effect.
        """
        self.log.event(
            "no_successor",
            group=self.group.name,
            missing=step.missing,
            token=held_claim.claim.token,
        )
        if held_claim.earlier_orders_settled and not unanswered:
            await comparison.resume(held_claim)
        # Otherwise the replicas stay suspended: an earlier order may still take
        # effect, and commits acknowledged from now on would be lost. The next
        # attempt continues from this state.

    async def promote(
        self, held_claim: HeldClaim, server_id: str
    ) -> ReplacementResult:
        """Promote a server that has all that the old primary had.

        The old primary has stepped down, so no commit is confirmed meanwhile.

        Args:
          held_claim: The claim on the succession.
          server_id: The server.
        """
        attempts = OrderAttempts(self.loop.time() + PROMOTION_TIMEOUT_SECONDS)
        while self.claims.in_force(held_claim):
            answer = await self.order(held_claim, server_id)
            if answer is PromotionResult.DONE:
                return await self.await_promotion(server_id)
            if not attempts.may_repeat(answer, self.loop.time()):
                break
            await asyncio.sleep(2 * POLL_SECONDS)
        return attempts.result()

    async def order(
        self, held_claim: HeldClaim, server_id: str
    ) -> PromotionResult:
        """Send one promotion order.

        Args:
          held_claim: The claim on the succession.
          server_id: The server to promote.
        """
        token = held_claim.claim.token
        answer = await self.promotion_service.promote(
            self.group.name, server_id, self.vm, token
        )
        self.claims.record_order(self.group.name)
        self.log.event(
            "promotion_ordered",
            group=self.group.name,
            server=server_id,
            token=token,
            answer=answer.value,
        )
        return answer

    async def await_promotion(self, server_id: str) -> ReplacementResult:
        """Wait until a promoted server is primary.

        The order takes effect some time after its answer. Until then the old
        server is still the primary, and a resumed replica would confirm commits
        that the new primary lacks.

        Args:
          server_id: The promoted server.
        """
        deadline = self.loop.time() + PROMOTION_EFFECT_SECONDS
        pool = self.group.pools.get(server_id)
        while pool is not None and self.loop.time() < deadline:
            if (await self.control.check_primary(pool)).is_primary:
                self.group.promoted(server_id)
                return ReplacementResult.DONE
            await asyncio.sleep(POLL_SECONDS)
            pool = self.group.pools.get(server_id)
        self.log.event(
            "promotion_without_effect",
            group=self.group.name,
            server=server_id,
        )
        return ReplacementResult.UNANSWERED

    async def adopt_primary(self, pools: list[ConnectionPool]) -> bool:
        """Record the server that is the primary; return whether one was found.

        Args:
          pools: The servers to ask.
        """
        answers = await self.control.check_primaries(pools)
        leading = [
            (one.term, one.pool.server.server_id)
            for one in answers
            if one.is_primary
        ]
        if not leading:
            return False
        self.group.promoted(max(leading)[1])
        return True
