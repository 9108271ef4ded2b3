"""Failover and switchover of the primary of one group."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.claim_rows import ClaimRows, HeldClaim
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.relay.indirect_probes import (
    IndirectProbes,
    ReachingPeer,
)
from jackdawcrank.relay.successor_promotion import (
    POLL_SECONDS,
    ReplacementResult,
    SuccessorPromotion,
)
from jackdawcrank.relay.switchover import Switchover
from jackdawcrank.seams.commands import QueryStatus
from jackdawcrank.seams.promotion_service import PromotionService
from jackdawcrank.seams.replies import ServerStatus
from jackdawcrank.tasks import cancel_and_wait
from jackdawcrank_policy.succession import (
    MIN_LAG_SECONDS,
    FailureKind,
    PrimaryContact,
    ReplacementStrategy,
    replacement_strategy,
)

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
# Interval at which each of about twenty proxies looks for a primary.
PRIMARY_POLL_SECONDS = 0.3


LEAVING = "leaving"
MISSING = "missing"
REPLICAS_LAG = "replicas_lag"
# Reasons to switch over from a healthy primary.
PLANNED = frozenset({LEAVING, REPLICAS_LAG})
# Reasons to ask the primary once more before it is replaced.
LOST = frozenset({FailureKind.SILENT.value, FailureKind.REFUSING.value})

TaskCoroutine = Coroutine[Any, Any, None]


class GroupSuccession:
    """Monitors one group's primary and replaces it when it fails or leaves.

    Attributes:
      group: The group.
      process: The unique name of this proxy process.
      indirect_probes: Probes the primary through other proxies.
      promotion: Elects and promotes servers.
      switchover: Replaces a primary that some proxy reaches.
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
        indirect_probes: IndirectProbes,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self.group = group
        self.control = group.control
        self.process = process
        self.claims = claims
        self.indirect_probes = indirect_probes
        self.promotion = SuccessorPromotion(
            group, vm, claims, promotion_service, refresh_servers, log
        )
        self.switchover = Switchover(
            group, self.promotion, indirect_probes, log
        )
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
        primary_answers = False
        if reason == FailureKind.UNCONFIRMED.value:
            caught_up = await self.caught_up_replicas()
            if caught_up:
                self.group.suspicion.commit_acknowledged()
                return
            primary_answers = caught_up is not None
        if reason == REPLICAS_LAG and not await self.all_replicas_lag():
            self.not_before = self.loop.time() + RETRY_SECONDS
            return
        if (
            reason in LOST
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
        result, held_claim = await self.replace_claimed(
            held_claim, old_primary, reason, primary_answers
        )
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

    async def replace_claimed(
        self,
        held_claim: HeldClaim,
        old_primary: ConnectionPool | None,
        reason: str,
        primary_answers: bool,
    ) -> tuple[ReplacementResult, HeldClaim]:
        """Replace the primary under a claim.

        Args:
          held_claim: The claim on the succession.
          old_primary: The primary, or None.
          reason: Why it must be replaced.
          primary_answers: Whether a failed primary still answers this process.

        Returns:
          The result, and the claim that is held now.
        """
        contact = (
            PrimaryContact.DIRECT if primary_answers else PrimaryContact.NONE
        )
        if reason in PLANNED and old_primary is not None:
            check = await self.control.check_primary(old_primary)
            if check.alive and not check.is_primary:
                # Another process has replaced it in the meantime.
                await self.find_primary()
                return ReplacementResult.NOTHING_DONE, held_claim
            if check.alive:
                contact = PrimaryContact.DIRECT
        reaching_peers: list[ReachingPeer] = []
        if contact is PrimaryContact.NONE:
            reaching_peers = await self.reaching_peers(old_primary)
            if reaching_peers:
                contact = PrimaryContact.PEER
        strategy = replacement_strategy(
            contact,
            confirms_commits=contact is not PrimaryContact.DIRECT
            or reason != FailureKind.UNCONFIRMED.value,
            listing_complete=self.listing_complete(),
            failures=self.failures,
        )
        if strategy is ReplacementStrategy.STEP_DOWN:
            result = await self.switchover.run(
                held_claim, old_primary, reaching_peers
            )
            return result, held_claim
        if strategy is ReplacementStrategy.WAIT:
            self.log.event("servers_unknown", group=self.group.name)
            return ReplacementResult.NOTHING_DONE, held_claim
        return await self.promotion.elect(
            held_claim, old_primary, contact is PrimaryContact.DIRECT
        )

    async def reaching_peers(
        self, old_primary: ConnectionPool | None
    ) -> list[ReachingPeer]:
        """Return other proxies that reach the primary.

        Args:
          old_primary: The primary, or None if this proxy knows none.
        """
        server_id = old_primary.server.server_id if old_primary else ""
        found = await self.indirect_probes.reaching_peers(self.group, server_id)
        if found:
            self.log.event(
                "primary_reached_by_peers",
                group=self.group.name,
                server=found[0].server_id,
                peers=len(found),
            )
        return found

    async def all_replicas_lag(self) -> bool:
        """Return whether every caught-up replica serves stale data."""
        caught_up = await self.caught_up_replicas()
        if not caught_up:
            return False
        return all(one.lag_seconds >= MIN_LAG_SECONDS for one in caught_up)

    async def caught_up_replicas(self) -> list[ServerStatus] | None:
        """Return the status of replicas that received all primary entries.

        None if the primary does not answer.
        """
        primary = self.group.primary_pool()
        if primary is None:
            return None
        primary_reply = await self.control.send_command(primary, QueryStatus())
        if primary_reply.status is None:
            return None
        replicas = self.group.other_pools(primary)
        answers = await self.control.send_to_all(replicas, QueryStatus())
        return [
            one.status
            for one in answers
            if one.status is not None
            and one.status.received >= primary_reply.status.received
        ]

    async def find_primary(self) -> bool:
        """Ask all servers for the primary; return whether one was found.

        The servers' reports in the store may be outdated or unreachable.
        """
        pools = list(self.group.pools.values())
        return await self.promotion.adopt_primary(pools)
