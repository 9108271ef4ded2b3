"""Failover and switchover of the primary of one group."""

import asyncio
import enum
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.claim_rows import ClaimRows, HeldClaim
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.relay.control_commands import StatusResult
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.seams.commands import (
    Demote,
    QueryStatus,
    ResumeReplication,
    SuspendReplication,
)
from jackdawcrank.seams.promotion_service import (
    PromotionResult,
    PromotionService,
)
from jackdawcrank.seams.replies import ServerStatus
from jackdawcrank.tasks import cancel_and_wait
from jackdawcrank_policy.succession import (
    MIN_LAG_SECONDS,
    FailureKind,
    FrozenServer,
    NoSuccessor,
    choose_successor,
)
from jackdawcrank_policy.values.position import Position

# Proxies that detect the same failure wait for a random time, so that one of
# them claims the succession and the others see its claim.
CLAIM_JITTER_SECONDS = 0.15
# Delay after a failed attempt, which gives the servers and the promotion
# service time to recover. It grows with each failure in a row.
RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 3.0
# A group without a known primary may have one whose report has not arrived
# yet.
MISSING_PRIMARY_SECONDS = 1.0
# Time for a replica to receive all entries of the old primary in a
# switchover. Replicas lag in receiving only by the network delay.
CATCH_UP_TIMEOUT_SECONDS = 2.0
POLL_SECONDS = 0.05
# Interval at which each of about twenty proxies looks for a primary.
PRIMARY_POLL_SECONDS = 0.3
# An unanswered promotion order is repeated for this time, or until another
# process holds the claim.
PROMOTION_TIMEOUT_SECONDS = 8.0
# Time for a promotion to take effect; at the users' sites it takes up to 1 s.
PROMOTION_EFFECT_SECONDS = 3.0


LEAVING = "leaving"
MISSING = "missing"
REPLICAS_LAG = "replicas_lag"
# Reasons to switch over from a healthy primary.
PLANNED = frozenset({LEAVING, REPLICAS_LAG})

TaskCoroutine = Coroutine[Any, Any, None]


class ReplacementResult(enum.Enum):
    """The result of an attempt to replace a primary."""

    DONE = "done"
    NOTHING_DONE = "nothing_done"
    UNANSWERED = "unanswered"
    """A promotion order may still take effect."""


class GroupSuccession:
    """Monitors one group's primary and replaces it when it fails or leaves.

    Attributes:
      group: The group.
      vm: This proxy's VM.
      process: The unique name of this proxy process.
      refresh_servers: Reads the table of servers; returns whether the store
        answered.
      running: Whether a replacement or a probe is in progress.
      primary_missing_since: When the group lost its primary, in seconds on the
        event loop's clock; None while it has one.
      not_before: The earliest start of the next attempt, in seconds on the
        event loop's clock.
      failures: The number of consecutive attempts that did not succeed.
    """

    def __init__(
        self,
        group: GroupRelay,
        vm: str,
        process: str,
        claims: ClaimRows,
        promotion_service: PromotionService,
        refresh_servers: Callable[[], Awaitable[bool]],
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self.group = group
        self.control = group.control
        self.vm = vm
        self.process = process
        self.claims = claims
        self.promotion_service = promotion_service
        self.refresh_servers = refresh_servers
        self.log = log
        self.rng = rng
        self.running = False
        self.primary_missing_since: float | None = None
        self.not_before = 0.0
        self.failures = 0
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()

    def check(self) -> None:
        """Start a replacement, a search or a probe of the primary if due."""
        if self.running or self.loop.time() < self.not_before:
            return
        reason = self.reason()
        if reason is not None:
            self.start_task(self.replace(reason))
        elif self.group.primary_pool() is None:
            if self.group.pools:
                self.start_task(self.poll_for_primary())
        elif self.group.suspicion.has_evidence():
            self.start_task(self.probe_primary())

    def start_task(self, coroutine: TaskCoroutine) -> None:
        """Run a coroutine as a task; checks do nothing until it ends."""
        self.running = True
        task = self.loop.create_task(self.run_task(coroutine))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run_task(self, coroutine: TaskCoroutine) -> None:
        """Await a coroutine and clear `running`, also if it raises."""
        try:
            await coroutine
        finally:
            self.running = False

    async def close(self) -> None:
        """Cancel all tasks; a claim in force expires by itself."""
        await cancel_and_wait(self.tasks)

    def reason(self) -> str | None:
        """Return why the primary must be replaced, or None if it need not."""
        now = self.loop.time()
        pool = self.group.primary_pool()
        if pool is None:
            if not self.group.pools:
                return None
            if self.primary_missing_since is None:
                self.primary_missing_since = now
            missing = now - self.primary_missing_since
            return MISSING if missing >= MISSING_PRIMARY_SECONDS else None
        self.primary_missing_since = None
        if pool.server.leaving:
            return LEAVING
        suspicion = self.group.suspicion.suspected_failure(now)
        if suspicion is not FailureKind.NONE:
            return str(suspicion.value)
        if self.group.switchover_trigger.lag_check_due(
            now, pool.queue_nonempty_seconds()
        ):
            return REPLICAS_LAG
        return None

    async def poll_for_primary(self) -> None:
        """Search for a primary that the store does not list."""
        if not await self.find_primary():
            self.not_before = self.loop.time() + PRIMARY_POLL_SECONDS

    async def probe_primary(self) -> None:
        """Probe a suspected primary."""
        pool = self.group.primary_pool()
        if pool is None:
            return
        start = self.loop.time()
        await self.control.check_primary(pool)
        self.not_before = start + 2 * POLL_SECONDS

    async def replace(self, reason: str) -> None:
        """Replace the primary unless another process does.

        Args:
          reason: Why it must be replaced.
        """
        await asyncio.sleep(self.rng.uniform(0.0, CLAIM_JITTER_SECONDS))
        if self.reason() is None:
            return
        if reason == MISSING and await self.find_primary():
            return
        if reason not in PLANNED and not self.listing_complete():
            self.not_before = self.loop.time() + PRIMARY_POLL_SECONDS
            return
        old_primary = self.group.primary_pool()
        old_id = old_primary.server.server_id if old_primary else ""
        if (
            reason == FailureKind.UNCONFIRMED.value
            and await self.any_replica_caught_up()
        ):
            self.group.suspicion.commit_acknowledged()
            return
        if reason == REPLICAS_LAG and not await self.all_replicas_lag():
            self.not_before = self.loop.time() + RETRY_SECONDS
            return
        lost = reason in (FailureKind.SILENT.value, FailureKind.REFUSING.value)
        if (
            lost
            and old_primary is not None
            and (await self.control.check_primary(old_primary)).alive
        ):
            return
        held_claim = await self.claims.claim(
            self.group.name, self.process, old_id
        )
        if held_claim is None:
            self.not_before = self.loop.time() + RETRY_SECONDS
            return
        claim = held_claim.claim
        self.log.event(
            "replacing_primary",
            group=self.group.name,
            old=old_id,
            reason=reason,
            token=claim.token,
        )
        if reason in PLANNED and old_primary is not None:
            result = await self.switch_over(held_claim, old_primary)
        else:
            result = await self.fail_over(held_claim, old_primary)
        self.failures = (
            0 if result is ReplacementResult.DONE else self.failures + 1
        )
        self.not_before = self.loop.time() + min(
            RETRY_SECONDS * self.failures, MAX_RETRY_SECONDS
        )
        # A promotion that took effect invalidates the orders of earlier
        # claims. Without one, those orders may still take effect.
        no_pending_order = (
            result is ReplacementResult.NOTHING_DONE
            and held_claim.earlier_orders_settled
        )
        if result is ReplacementResult.DONE or no_pending_order:
            await self.claims.settle(self.group.name, held_claim)

    def listing_complete(self) -> bool:
        """Return whether a server that the store does not list is gone.

        Before, an unlisted server may lead, or hold a commit alone.
        """
        return self.group.store_health.listing.complete(boot_seconds())

    async def any_replica_caught_up(self) -> bool:
        """Return whether a replica has received all entries of the primary."""
        return bool(await self.caught_up_replicas())

    async def all_replicas_lag(self) -> bool:
        """Return whether every caught-up replica serves stale data."""
        caught_up = await self.caught_up_replicas()
        return bool(caught_up) and all(
            one.lag_seconds >= MIN_LAG_SECONDS for one in caught_up
        )

    async def caught_up_replicas(self) -> list[ServerStatus]:
        """Return the status of replicas that received all primary entries."""
        primary = self.group.primary_pool()
        if primary is None:
            return []
        primary_reply = await self.control.send_command(primary, QueryStatus())
        if primary_reply.status is None:
            return []
        replicas = self.replicas(primary)
        answers = await self.control.send_to_all(replicas, QueryStatus())
        return [
            one.status
            for one in answers
            if one.status is not None
            and one.status.received >= primary_reply.status.received
        ]

    def replicas(self, primary: ConnectionPool | None) -> list[ConnectionPool]:
        """Return the pools of all servers except the primary."""
        return [one for one in self.group.pools.values() if one is not primary]

    def next_term(self) -> int:
        """Return a term above every term that this proxy has seen."""
        terms = [
            one.condition.position.term
            for one in self.group.pools.values()
            if one.condition.position
        ]
        newest = self.group.watermarks.newest()
        if newest:
            terms.append(newest.position.term)
        return max(terms, default=0) + 1

    async def fail_over(
        self, held_claim: HeldClaim, old_primary: ConnectionPool | None
    ) -> "ReplacementResult":
        """Suspend the replicas and promote the most advanced one.

        Args:
          held_claim: The claim on the succession.
          old_primary: The failed primary, or None.
        """
        claim = held_claim.claim
        # Changes arrive late over other VMs, so the list is read once more
        # under the claim.
        refreshed = await self.refresh_servers()
        if not refreshed or not self.listing_complete():
            self.log.event("servers_unknown", group=self.group.name)
            return ReplacementResult.NOTHING_DONE
        replicas = self.replicas(old_primary)
        if await self.adopt_primary(replicas):
            return ReplacementResult.NOTHING_DONE
        answers = await self.control.send_to_all(replicas, QueryStatus())
        term = max(
            [self.next_term()]
            + [one.status.term + 1 for one in answers if one.status]
        )
        answers = await self.control.send_to_all(
            replicas, SuspendReplication(term)
        )
        choice = choose_successor(
            [
                FrozenServer(
                    one.pool.server.server_id,
                    one.status.received,
                    one.pool.server.leaving,
                    self.group.proxy_location.distance(
                        one.pool.server.data_center
                    ),
                )
                for one in answers
                if one.status is not None
            ],
            [
                *(one.server.server_id for one in replicas),
                *self.group.recently_missing(),
            ],
            self.group.group.confirming_replicas,
        )
        if isinstance(choice, NoSuccessor):
            self.log.event(
                "no_successor",
                group=self.group.name,
                missing=choice.missing,
                token=claim.token,
            )
            if held_claim.earlier_orders_settled:
                await self.resume_replication(held_claim, answers, term)
            # Otherwise the replicas stay suspended: an order of an earlier
            # claim may still take effect, and commits acknowledged from now
            # on would be lost. The next attempt continues from this state.
            return ReplacementResult.NOTHING_DONE
        self.log.event(
            "successor_chosen",
            group=self.group.name,
            server=choice.server_id,
            position=str(choice.position),
            token=claim.token,
            term=term,
        )
        return await self.promote_server(
            held_claim, choice.server_id, answers, term
        )

    async def resume_replication(
        self,
        held_claim: HeldClaim,
        suspended: list[StatusResult],
        term: int,
    ) -> None:
        """Let replicas receive entries again that were suspended by this claim.

        If this process was silent for too long, another one may have suspended
        them since, to compare their positions. They must not confirm commits of
        the old primary then.

        Args:
          held_claim: The claim under which they were suspended.
          suspended: The answers of the suspended replicas.
          term: The term under which they were suspended.
        """
        pools = [one.pool for one in suspended if one.status is not None]
        if held_claim.may_have_lapsed():
            pools = await self.suspended_under(pools, term)
        await self.control.send_to_all(pools, ResumeReplication())

    async def suspended_under(
        self, pools: list[ConnectionPool], term: int
    ) -> list[ConnectionPool]:
        """Return the servers that were not suspended under a later term.

        Args:
          pools: The servers.
          term: The term.
        """
        answers = await self.control.send_to_all(pools, QueryStatus())
        later = [
            one.pool.server.server_id
            for one in answers
            if one.status and one.status.suspended_at_term > term
        ]
        if later:
            self.log.event(
                "resume_left_out",
                group=self.group.name,
                servers=later,
                term=term,
            )
        return [
            one.pool
            for one in answers
            if one.status and one.status.suspended_at_term <= term
        ]

    async def promote_server(
        self,
        held_claim: HeldClaim,
        server_id: str,
        suspended: list[StatusResult],
        term: int,
    ) -> "ReplacementResult":
        """Order the promotion of a server, repeatedly until it is answered.

        Args:
          held_claim: The claim on the succession.
          server_id: The server to promote.
          suspended: The suspended replicas, resumed once the server is
            primary.
          term: The term under which they were suspended.
        """
        deadline = self.loop.time() + PROMOTION_TIMEOUT_SECONDS
        claim = held_claim.claim
        unanswered = False
        while self.claims.in_force(held_claim):
            answer = await self.promotion_service.promote(
                self.group.name, server_id, self.vm, claim.token
            )
            self.log.event(
                "promotion_ordered",
                group=self.group.name,
                server=server_id,
                token=claim.token,
                answer=answer.value,
            )
            if answer is PromotionResult.DONE:
                return await self.await_promotion(
                    held_claim, server_id, suspended, term
                )
            unanswered = unanswered or answer is PromotionResult.UNANSWERED
            if answer is PromotionResult.REFUSED:
                # Another process holds the claim, or the server is down.
                break
            if self.loop.time() >= deadline:
                break
            await asyncio.sleep(2 * POLL_SECONDS)
        return (
            ReplacementResult.UNANSWERED
            if unanswered
            else ReplacementResult.NOTHING_DONE
        )

    async def await_promotion(
        self,
        held_claim: HeldClaim,
        server_id: str,
        suspended: list[StatusResult],
        term: int,
    ) -> "ReplacementResult":
        """Wait until a promoted server is primary, then resume the others.

        The order takes effect some time after its answer. Until then the old
        server is still the primary, and a resumed replica would confirm commits
        that the new primary lacks.

        Args:
          held_claim: The claim.
          server_id: The promoted server.
          suspended: The suspended replicas.
          term: The term under which they were suspended.
        """
        deadline = self.loop.time() + PROMOTION_EFFECT_SECONDS
        pool = self.group.pools.get(server_id)
        while pool is not None and self.loop.time() < deadline:
            if (await self.control.check_primary(pool)).is_primary:
                self.group.promoted(server_id)
                others = [one for one in suspended if one.pool is not pool]
                await self.resume_replication(held_claim, others, term)
                return ReplacementResult.DONE
            await asyncio.sleep(POLL_SECONDS)
            pool = self.group.pools.get(server_id)
        self.log.event(
            "promotion_without_effect",
            group=self.group.name,
            server=server_id,
        )
        return ReplacementResult.UNANSWERED

    async def find_primary(self) -> bool:
        """Ask all servers for the primary; return whether one was found.

        The servers' reports in the store may be outdated or unreachable.
        """
        return await self.adopt_primary(list(self.group.pools.values()))

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

    async def switch_over(
        self, held_claim: HeldClaim, old_primary: ConnectionPool
    ) -> "ReplacementResult":
        """Switch over from a primary that is reachable.

        Fails over if the primary does not confirm that it stepped down.

        Args:
          held_claim: The claim on the succession.
          old_primary: The primary.
        """
        primary_reply = await self.control.check_primary(old_primary)
        if primary_reply.alive and not primary_reply.is_primary:
            # Another process has replaced it in the meantime.
            await self.find_primary()
            return ReplacementResult.NOTHING_DONE
        staying_replicas = [
            one for one in self.replicas(old_primary) if not one.server.leaving
        ]
        answers = await self.control.send_to_all(
            staying_replicas, QueryStatus()
        )
        if not any(one.status for one in answers):
            self.log.event("no_successor", group=self.group.name, missing=())
            return ReplacementResult.NOTHING_DONE
        terms = [one.status.term + 1 for one in answers if one.status]
        term = max([self.next_term(), *terms])
        step_down_reply = await self.control.send_command(
            old_primary, Demote(term)
        )
        if step_down_reply.status is None:
            return await self.fail_over(held_claim, old_primary)
        final_position = step_down_reply.status.received
        server_id = await self.wait_for_position(
            staying_replicas, final_position
        )
        if server_id is None:
            self.log.event(
                "hand_over_undone",
                group=self.group.name,
                position=str(final_position),
            )
            server_id = old_primary.server.server_id
        return await self.promote_server(held_claim, server_id, [], term)

    async def wait_for_position(
        self, pools: list[ConnectionPool], position: Position
    ) -> str | None:
        """Return the nearest replica that received a position, or None."""
        deadline = self.loop.time() + CATCH_UP_TIMEOUT_SECONDS
        while self.loop.time() < deadline:
            answers = await self.control.send_to_all(pools, QueryStatus())
            candidates = [
                one.pool
                for one in answers
                if one.status and one.status.received >= position
            ]
            if candidates:
                nearest = min(
                    candidates,
                    key=lambda one: self.group.proxy_location.distance(
                        one.server.data_center
                    ),
                )
                return nearest.server.server_id
            await asyncio.sleep(POLL_SECONDS)
        return None
