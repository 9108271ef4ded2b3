"""Replaces a primary that the group's homes judge to have failed."""

import math

from jackdawcrank.groups.group_context import GroupContext
from jackdawcrank.groups.group_probes import GroupProbes
from jackdawcrank.groups.group_store import PreparingStore
from jackdawcrank.groups.promotion_driver import PromotionDriver
from jackdawcrank.groups.suspicion_round import ask_homes
from jackdawcrank_policy.acknowledgement import Quorum
from jackdawcrank_policy.coordination import takeover_delay
from jackdawcrank_policy.detection import (
    Judgement,
    PrimaryEvidence,
    PrimaryHealth,
    PromotionBackoff,
)
from jackdawcrank_policy.promotion import (
    Abandoned,
    AbandonReason,
    PromotionCause,
)
from jackdawcrank_policy.values import GroupPhase, GroupRow
from jackdawcrank_wire.events import EventKind

CONSULT_AFTER_MISSES = 1
FINAL_PROBE_TIMEOUT_SECONDS = 0.15
MAX_EVIDENCE_AGE_SECONDS = 0.8
RECHECK_SECONDS = 0.02
RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 2.0
PREPARE_INTERVAL_SECONDS = 5.0
BLOCKED_RETRY_SECONDS = 1.0


class PrimaryWatch:
    """Consults the other homes on a silent primary and starts a promotion.

    The other homes are asked before this VM suspects the primary itself, so
    that their answers are available as soon as it does.

    Attributes:
      context: The group.
      probes: The probes of the group's servers.
      driver: The group's promotions.
      backoff: Limits the rate of unplanned promotions.
      suspicious: Whether a suspicion was recorded and not cleared since.
      evaluating: Whether the primary is being evaluated.
      prepared_at: When the store last prefetched for a claim, in seconds.
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
        self.backoff = PromotionBackoff()
        self.suspicious = False
        self.evaluating = False
        self.prepared_at = -math.inf

    def update_row(self, earlier: GroupRow | None, row: GroupRow) -> None:
        """Count a promotion after a suspicion towards the backoff.

        Args:
          earlier: The row that was known before.
          row: The newest row.
        """
        if earlier is None or earlier.term == row.term:
            return
        if row.phase is GroupPhase.ACTIVE and self.suspicious:
            self.backoff.promoted(self.context.timer.now())
            self.suspicious = False

    def check(self) -> None:
        """Start an evaluation once the primary has missed an answer.

        A suspicion is cleared if the primary has answered since.
        """
        row = self.context.row
        if row is None or row.phase is not GroupPhase.ACTIVE:
            return
        detector = self.probes.detector
        if self.suspicious and detector.misses == 0:
            self.suspicious = False
            self.context.blocked = ""
            self.context.record_event(
                EventKind.SUSPICION_CLEARED, primary=row.primary
            )
        if detector.misses < CONSULT_AFTER_MISSES:
            return
        if self.evaluating or self.driver.busy or self.context.closed:
            return
        self.evaluating = True
        self.context.tasks.spawn(self.evaluate_primary(row))

    async def evaluate_primary(self, row: GroupRow) -> None:
        """Evaluate a silent primary until it answers or is replaced."""
        pause = RETRY_SECONDS
        try:
            while await self.evaluate_once(row):
                await self.context.pause(pause)
                pause = min(2 * pause, MAX_RETRY_SECONDS)
        finally:
            self.evaluating = False

    async def evaluate_once(self, row: GroupRow) -> bool:
        """Evaluate a silent primary once; return whether to repeat it."""
        now = self.context.timer.now
        self.context.tasks.spawn(self.prepare_claim())
        judgement = await self.collect_judgement()
        judged_at = now()
        health = await self.await_own_suspicion(row)
        if health is None or self.context.row != row or self.driver.busy:
            return False
        if now() - judged_at > MAX_EVIDENCE_AGE_SECONDS:
            judgement = await self.collect_judgement()
            if self.context.row != row or self.driver.busy:
                return False
        self.raise_suspicion(row, health, judgement)
        blocking_reason = self.blocking_reason(row, judgement)
        if blocking_reason:
            self.context.block(blocking_reason)
            return True
        answers = await self.probes.recheck_primary(FINAL_PROBE_TIMEOUT_SECONDS)
        if answers or self.context.row != row or self.driver.busy:
            return False
        end = await self.driver.promote(PromotionCause.FAILURE)
        if not isinstance(end, Abandoned):
            return False
        await self.context.pause(BLOCKED_RETRY_SECONDS)
        return end.reason is AbandonReason.STORE_UNAVAILABLE

    async def prepare_claim(self) -> None:
        """Prefetch the rows for a claim while the other homes are asked."""
        now = self.context.timer.now()
        if now < self.prepared_at + PREPARE_INTERVAL_SECONDS:
            return
        if isinstance(self.context.store, PreparingStore):
            self.prepared_at = now
            await self.context.store.prepare(self.context.spec.name)

    async def collect_judgement(self) -> Judgement:
        """Return the joint judgement of the reachable homes."""
        health = self.probes.detector.corroborating_health(
            self.context.timer.now()
        )
        return await ask_homes(
            self.evidence(health), self.context.homes, self.context.peers
        )

    async def await_own_suspicion(self, row: GroupRow) -> PrimaryHealth | None:
        """Wait for this VM's suspicion and then its takeover delay.

        Returns:
          The primary's health, or None if it answers again or the row has
          changed.
        """
        detector = self.probes.detector
        while self.context.row == row and detector.misses:
            health = detector.health(self.context.timer.now())
            if health is PrimaryHealth.CUT_OFF:
                self.context.block("this VM reaches no server of the group")
            if health.is_suspicious:
                await self.context.pause(
                    takeover_delay(self.context.takeover_rank or 0)
                )
                return health if detector.misses else None
            await self.context.pause(RECHECK_SECONDS)
        return None

    def raise_suspicion(
        self, row: GroupRow, health: PrimaryHealth, judgement: Judgement
    ) -> None:
        """Record a suspicion unless it is already recorded."""
        if self.suspicious:
            return
        self.suspicious = True
        self.context.record_event(
            EventKind.SUSPICION_RAISED,
            primary=row.primary,
            health=health,
            judgement=judgement,
        )

    def blocking_reason(self, row: GroupRow, judgement: Judgement) -> str:
        """Return why the primary cannot be replaced now, or an empty string."""
        now = self.context.timer.now()
        if self.context.takeover_rank is None:
            return "this VM is not a home of the group"
        if not judgement.calls_for_promotion:
            return f"the homes judge the primary {judgement}"
        if self.backoff.ready_at(now) > now:
            return "the last promotions were too recent"
        reached = self.probes.reports().keys() - {row.primary}
        if len(reached) >= Quorum(len(self.context.servers)).fence_count:
            return ""
        return "too few servers can be fenced"

    def evidence(self, health: PrimaryHealth) -> PrimaryEvidence:
        """Return this VM's evidence on the primary."""
        now = self.context.timer.now()
        row = self.context.row
        return PrimaryEvidence(
            vm=self.context.vm,
            group=self.context.spec.name,
            term=row.term if row else 0,
            primary=self.probes.primary,
            health=health,
            silent_seconds=self.probes.detector.silent_seconds(now),
            coordinating=self.driver.busy,
        )
