"""Replacing the primary of one group."""

import asyncio
import enum
import random
from collections.abc import Coroutine
from typing import Any

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.claim_rows import ClaimRows, HeldClaim
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.relay.server_lane import ServerLane
from jackdawcrank.relay.server_questions import Questioned
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
from jackdawcrank_policy.succession import (
    MIN_LAG_SECONDS,
    Claim,
    FailureKind,
    FrozenServer,
    NoSuccessor,
    choose_successor,
)
from jackdawcrank_policy.values.position import Position

# Proxies that notice the same loss wait a random time, so that one of them
# claims it and the others see that.
SPREAD_SECONDS = 0.15
# After a failed try: servers and authority need time to come back.
RETRY_SECONDS = 0.5
LONGEST_RETRY_SECONDS = 3.0
# A group without a primary may have one whose report is on its way.
NO_PRIMARY_SECONDS = 1.0
# Time for a replica to receive what the leaving primary has; its lag in
# receiving is a network's delay.
CATCH_UP_SECONDS = 2.0
POLL_SECONDS = 0.05
# Between looks for a primary, by each of some twenty proxies.
LOOK_SECONDS = 0.3
# An order without an answer is repeated until somebody else holds the claim.
ORDER_SECONDS = 8.0
# A promotion takes up to 1 s on the users' sites.
EFFECT_SECONDS = 3.0


LEAVING = "leaving"
MISSING = "missing"
REPLICAS_LAG = "replicas_lag"
# Reasons to move the lead of a primary that is well.
PLANNED = frozenset({LEAVING, REPLICAS_LAG})

Work = Coroutine[Any, Any, None]


class Result(enum.Enum):
    """What became of a try to replace a primary."""

    DONE = "done"
    NOTHING_DONE = "nothing_done"
    UNANSWERED = "unanswered"
    """An order may still be carried out."""


class GroupSuccession:
    """Watches one group's primary and replaces it when it is lost or leaves.

    Attributes:
      group: The group.
      vm: This proxy's VM.
      process: This proxy process, by a name that no other one has.
      running: Whether a replacement or a question is under way.
      primary_missing_since: Since when there has been no primary.
      not_before: When the next try may begin.
      failures: Tries in a row that changed nothing.
    """

    def __init__(
        self,
        group: GroupRelay,
        vm: str,
        process: str,
        claims: ClaimRows,
        authority: PromotionService,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self.group = group
        self.questions = group.questions
        self.vm = vm
        self.process = process
        self.claims = claims
        self.authority = authority
        self.log = log
        self.rng = rng
        self.running = False
        self.primary_missing_since: float | None = None
        self.not_before = 0.0
        self.failures = 0
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()

    def check(self) -> None:
        """Begin whatever the group needs now."""
        if self.running or self.loop.time() < self.not_before:
            return
        reason = self.reason()
        if reason is not None:
            self.begin(self.replace(reason))
        elif self.group.primary_lane() is None:
            if self.group.lanes:
                self.begin(self.look_again())
        elif self.group.doubt.has_evidence():
            self.begin(self.question_primary())

    def begin(self, work: Work) -> None:
        """Run one piece of work; the next check waits for it."""
        self.running = True
        task = self.loop.create_task(self.guard(work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def guard(self, work: Work) -> None:
        """Finish a piece of work, whatever it raises."""
        try:
            await work
        finally:
            self.running = False

    async def close(self) -> None:
        """Stop; a claim in force runs out by itself."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def reason(self) -> str | None:
        """Return why the primary must be replaced, or None."""
        now = self.loop.time()
        lane = self.group.primary_lane()
        if lane is None:
            if not self.group.lanes:
                return None
            if self.primary_missing_since is None:
                self.primary_missing_since = now
            missing = now - self.primary_missing_since
            return MISSING if missing >= NO_PRIMARY_SECONDS else None
        self.primary_missing_since = None
        if lane.server.leaving:
            return LEAVING
        doubt = self.group.doubt.suspected_failure(now)
        if doubt is not FailureKind.NONE:
            return str(doubt.value)
        if self.group.relief.lag_check_due(now, lane.full_for()):
            return REPLICAS_LAG
        return None

    async def look_again(self) -> None:
        """Look for a primary that the store does not name."""
        if not await self.look_for_primary():
            self.not_before = self.loop.time() + LOOK_SECONDS

    async def question_primary(self) -> None:
        """Find out whether a primary in doubt answers."""
        lane = self.group.primary_lane()
        if lane is None:
            return
        start = self.loop.time()
        await self.questions.leads(lane)
        self.not_before = start + 2 * POLL_SECONDS

    async def replace(self, reason: str) -> None:
        """Replace the primary, if nobody else does.

        Args:
          reason: Why.
        """
        await asyncio.sleep(self.rng.uniform(0.0, SPREAD_SECONDS))
        if self.reason() is None:
            return
        if reason == MISSING and await self.look_for_primary():
            return
        old = self.group.primary_lane()
        old_id = old.server.server_id if old else ""
        if reason == FailureKind.UNCONFIRMED.value and await self.keeps_up():
            self.group.doubt.commit_acknowledged()
            return
        if reason == REPLICAS_LAG and not await self.all_lag():
            self.not_before = self.loop.time() + RETRY_SECONDS
            return
        lost = reason in (FailureKind.SILENT.value, FailureKind.REFUSING.value)
        if lost and old is not None and (await self.questions.leads(old)).alive:
            return
        granted = await self.claims.claim(self.group.name, self.process, old_id)
        if granted is None:
            self.not_before = self.loop.time() + RETRY_SECONDS
            return
        claim = granted.claim
        self.log.event(
            "replacing_primary",
            group=self.group.name,
            old=old_id,
            reason=reason,
            token=claim.token,
        )
        if reason in PLANNED and old is not None:
            result = await self.hand_over(granted, old)
        else:
            result = await self.take_over(granted, old)
        self.failures = 0 if result is Result.DONE else self.failures + 1
        self.not_before = self.loop.time() + min(
            RETRY_SECONDS * self.failures, LONGEST_RETRY_SECONDS
        )
        # An order that was obeyed shuts out those of earlier claims; without
        # one, theirs may still be carried out.
        nothing_open = result is Result.NOTHING_DONE and granted.first_order
        if result is Result.DONE or nothing_open:
            await self.claims.settle(self.group.name, claim)

    async def keeps_up(self) -> bool:
        """Return whether a replica has received what the primary had."""
        return bool(await self.replicas_kept_up())

    async def all_lag(self) -> bool:
        """Return whether every replica that could lead shows old data."""
        kept_up = await self.replicas_kept_up()
        return bool(kept_up) and all(
            one.lag_seconds >= MIN_LAG_SECONDS for one in kept_up
        )

    async def replicas_kept_up(self) -> list[ServerStatus]:
        """Return the replicas that have received what the primary had."""
        primary = self.group.primary_lane()
        if primary is None:
            return []
        first = await self.questions.ask(primary, QueryStatus())
        if first.status is None:
            return []
        replicas = self.replicas(primary)
        answers = await self.questions.ask_all(replicas, QueryStatus())
        return [
            one.status
            for one in answers
            if one.status is not None
            and one.status.received >= first.status.received
        ]

    def replicas(self, primary: ServerLane | None) -> list[ServerLane]:
        """Return the lanes of all servers but one."""
        return [one for one in self.group.lanes.values() if one is not primary]

    def next_term(self) -> int:
        """Return a term above every one that this proxy knows of."""
        terms = [
            one.condition.position.term
            for one in self.group.lanes.values()
            if one.condition.position
        ]
        newest = self.group.watermarks.newest()
        if newest:
            terms.append(newest.position.term)
        return max(terms, default=0) + 1

    async def take_over(
        self, granted: HeldClaim, old: ServerLane | None
    ) -> "Result":
        """Freeze the replicas and promote the most advanced one.

        Args:
          granted: The right to do so.
          old: The lost primary, if there is one.
        """
        claim = granted.claim
        replicas = self.replicas(old)
        if await self.adopt_leader(replicas):
            return Result.NOTHING_DONE
        answers = await self.questions.ask_all(replicas, QueryStatus())
        term = max(
            [self.next_term()]
            + [one.status.term + 1 for one in answers if one.status]
        )
        answers = await self.questions.ask_all(
            replicas, SuspendReplication(term)
        )
        choice = choose_successor(
            [
                FrozenServer(
                    one.lane.server.server_id,
                    one.status.received,
                    one.lane.server.leaving,
                    self.group.whereabouts.distance(
                        one.lane.server.data_center
                    ),
                )
                for one in answers
                if one.status is not None
            ],
            [
                *(one.server.server_id for one in replicas),
                *self.group.unaccounted(),
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
            if granted.first_order:
                await self.thaw(answers)
            # Otherwise an order of an earlier claim may still be carried
            # out; it would lose what is acknowledged from now on. The next
            # try goes on from here.
            return Result.NOTHING_DONE
        self.log.event(
            "successor_chosen",
            group=self.group.name,
            server=choice.server_id,
            position=str(choice.position),
            token=claim.token,
            term=term,
        )
        return await self.order(claim, choice.server_id, answers)

    async def thaw(self, frozen: list[Questioned]) -> None:
        """Let frozen replicas receive again."""
        await self.questions.ask_all(
            [one.lane for one in frozen if one.status is not None],
            ResumeReplication(),
        )

    async def order(
        self, claim: Claim, server_id: str, frozen: list[Questioned]
    ) -> "Result":
        """Have a server promoted; repeat the order until it is answered.

        Args:
          claim: The right to do so.
          server_id: The server.
          frozen: The replicas that wait for the new primary.
        """
        give_up_at = self.loop.time() + ORDER_SECONDS
        unanswered = False
        while True:
            answer = await self.authority.promote(
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
                return await self.see_through(server_id, frozen)
            unanswered = unanswered or answer is PromotionResult.UNANSWERED
            if answer is PromotionResult.REFUSED:
                # Another holder is in charge, or the server does not run.
                return Result.UNANSWERED if unanswered else Result.NOTHING_DONE
            if self.loop.time() >= give_up_at:
                return Result.UNANSWERED if unanswered else Result.NOTHING_DONE
            await asyncio.sleep(2 * POLL_SECONDS)

    async def see_through(
        self, server_id: str, frozen: list[Questioned]
    ) -> "Result":
        """Wait until a promoted server leads; then thaw the others.

        The order takes effect some time after its answer. Until then the old
        primary leads, and a thawed replica would confirm commits that the
        new one lacks.

        Args:
          server_id: The promoted server.
          frozen: The replicas that wait for it.
        """
        give_up_at = self.loop.time() + EFFECT_SECONDS
        lane = self.group.lanes.get(server_id)
        while lane is not None and self.loop.time() < give_up_at:
            if (await self.questions.leads(lane)).leads:
                self.group.promoted(server_id)
                await self.thaw([one for one in frozen if one.lane is not lane])
                return Result.DONE
            await asyncio.sleep(POLL_SECONDS)
            lane = self.group.lanes.get(server_id)
        self.log.event(
            "promotion_without_effect",
            group=self.group.name,
            server=server_id,
        )
        return Result.UNANSWERED

    async def look_for_primary(self) -> bool:
        """Ask the servers which of them leads; return whether one does.

        Their reports in the store may be late or out of reach.
        """
        return await self.adopt_leader(list(self.group.lanes.values()))

    async def adopt_leader(self, lanes: list[ServerLane]) -> bool:
        """Make a server that leads the primary; return whether one does.

        Args:
          lanes: The servers to ask.
        """
        answers = await self.questions.leads_all(lanes)
        leading = [
            (one.term, one.lane.server.server_id)
            for one in answers
            if one.leads
        ]
        if not leading:
            return False
        self.group.promoted(max(leading)[1])
        return True

    async def hand_over(self, granted: HeldClaim, old: ServerLane) -> "Result":
        """Move the lead of a primary that answers.

        Args:
          granted: The right to do so.
          old: The primary.
        """
        first = await self.questions.leads(old)
        if first.alive and not first.leads:
            # Somebody else has moved it meanwhile.
            await self.look_for_primary()
            return Result.NOTHING_DONE
        staying = [one for one in self.replicas(old) if not one.server.leaving]
        answers = await self.questions.ask_all(staying, QueryStatus())
        if not any(one.status for one in answers):
            self.log.event("no_successor", group=self.group.name, missing=())
            return Result.NOTHING_DONE
        terms = [one.status.term + 1 for one in answers if one.status]
        term = max([self.next_term(), *terms])
        stepped = await self.questions.ask(old, Demote(term))
        if stepped.status is None:
            return await self.take_over(granted, old)
        final = stepped.status.received
        server_id = await self.wait_for_position(staying, final)
        if server_id is None:
            self.log.event(
                "hand_over_undone", group=self.group.name, position=str(final)
            )
            server_id = old.server.server_id
        return await self.order(granted.claim, server_id, [])

    async def wait_for_position(
        self, lanes: list[ServerLane], position: Position
    ) -> str | None:
        """Return the first server that has received a position, or None."""
        give_up_at = self.loop.time() + CATCH_UP_SECONDS
        while self.loop.time() < give_up_at:
            answers = await self.questions.ask_all(lanes, QueryStatus())
            able = [
                one.lane
                for one in answers
                if one.status and one.status.received >= position
            ]
            if able:
                nearest = min(
                    able,
                    key=lambda one: self.group.whereabouts.distance(
                        one.server.data_center
                    ),
                )
                return nearest.server.server_id
            await asyncio.sleep(POLL_SECONDS)
        return None
