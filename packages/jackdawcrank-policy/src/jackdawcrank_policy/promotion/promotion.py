"""State machine of a promotion."""

import enum
import functools

import attrs

from jackdawcrank_policy.lease import LEASE_WAIT_SECONDS
from jackdawcrank_policy.promotion.actions import (
    Abandoned,
    AbandonReason,
    Action,
    AnnouncePrimary,
    AskGiveUp,
    ClaimTerm,
    FenceServer,
    Finished,
    OpenTerm,
    ProbeServer,
    SetTimer,
    Timer,
)
from jackdawcrank_policy.promotion.choice import choose_primary, extend_branch
from jackdawcrank_policy.promotion.events import (
    Announced,
    AnnounceFailed,
    ClaimConflict,
    Claimed,
    Event,
    Fenced,
    FenceRefused,
    LeaseGivenUp,
    OpenConflict,
    Opened,
    Probed,
    StoreLost,
    TimerFired,
    Unreachable,
)
from jackdawcrank_policy.promotion.plan import PromotionCause, PromotionPlan
from jackdawcrank_policy.values import (
    GroupPhase,
    GroupRow,
    Position,
    ServerReport,
)

FENCE_GRACE_SECONDS = 0.15
FENCE_RETRY_SECONDS = 0.25
OPEN_RETRY_SECONDS = 0.25
MAX_OPEN_RETRY_SECONDS = 2.0
CATCH_UP_TIMEOUT_SECONDS = 2.0
QUIESCE_TIMEOUT_SECONDS = 0.1
TARGET_PROBE_INTERVAL_SECONDS = 0.01
ANNOUNCE_RETRY_SECONDS = 0.1
MAX_ANNOUNCE_ATTEMPTS = 5
PROMOTION_TIMEOUT_SECONDS = 30.0


class PromotionStep(enum.Enum):
    """Steps of a promotion, in the order in which they are taken."""

    CLAIMING = "claiming"
    HANDING_OVER = "handing_over"
    CLOSING = "closing"
    OPENING = "opening"
    ANNOUNCING = "announcing"
    OVER = "over"


@attrs.define
class Promotion:
    """One attempt to open a new term, from the claim to the announcement.

    Call `start` once and `on` for each event. Both return the actions to
    execute. The last action is `Finished` or `Abandoned`.

    The claim is a compare-and-set, so only one coordinator owns a term. The
    term is opened after a quorum of servers is fenced with it and every lease
    of an earlier term is closed, either given up by its writer or expired.
    Only then is the most advanced fenced server chosen as primary. A
    switch-over fences the old primary first and lets the target catch up
    before it fences the other servers.

    Attributes:
      plan: The inputs of the promotion.
      step: The current step.
      claimed: The row that claims the term.
      opened: The row that opens the term, once a primary is chosen.
      fenced: The reports of the fenced servers, by server name.
      failed: Servers whose last fence request failed.
      given_up: Writers that gave up their leases on earlier terms.
      leases_closed: Whether every lease of an earlier term is closed.
      grace_expired: Whether the grace period for unfenced servers has ended.
      lease_wait_expired: Whether the wait for the leases of earlier terms
        to expire has ended. It also bounds the wait for unfenced servers.
      final_position: The position of the old primary after it was fenced, in
        a switch-over.
      claimed_at: When the store confirmed the claim, in seconds.
      failed_announcements: The number of announcements that the new primary
        refused or did not answer.
      open_retry_seconds: The delay before the next attempt to open the term.
      primary_fence_sent: Whether a switch-over has requested the fence of the
        old primary.
    """

    plan: PromotionPlan
    step: PromotionStep = PromotionStep.CLAIMING
    claimed: GroupRow | None = None
    opened: GroupRow | None = None
    fenced: dict[str, ServerReport] = attrs.field(factory=dict)
    failed: set[str] = attrs.field(factory=set)
    given_up: set[str] = attrs.field(factory=set)
    leases_closed: bool = False
    grace_expired: bool = False
    lease_wait_expired: bool = False
    final_position: Position | None = None
    claimed_at: float = 0.0
    failed_announcements: int = 0
    open_retry_seconds: float = OPEN_RETRY_SECONDS
    primary_fence_sent: bool = False

    @property
    def term(self) -> int:
        """Return the claimed term; 0 before the claim."""
        return self.claimed.term if self.claimed else 0

    def start(self, now: float) -> list[Action]:
        """Return the first action, the claim of the term.

        Args:
          now: The current time, in seconds.
        """
        row = self.plan.claimed_row()
        return [ClaimTerm(self.plan.expected, row)]

    @functools.singledispatchmethod
    def on(self, event: Event, now: float) -> list[Action]:
        """Process an event and return the actions to execute.

        Args:
          event: The event.
          now: The current time, in seconds.

        Raises:
          TypeError: If the event is not one of a promotion.
        """
        raise TypeError(f"unsupported promotion event: {event!r}")

    @on.register
    def _(self, event: Claimed, now: float) -> list[Action]:
        if self.step is not PromotionStep.CLAIMING:
            return []
        self.claimed = event.row
        self.claimed_at = now
        self.leases_closed = not self.plan.old_writers
        actions: list[Action] = [
            AskGiveUp(vm, self.term) for vm in self.plan.old_writers
        ]
        actions.append(SetTimer(Timer.LEASES, self.leases_expire_at(now)))
        actions.append(
            SetTimer(Timer.DEADLINE, now + PROMOTION_TIMEOUT_SECONDS)
        )
        if self.plan.cause is PromotionCause.SWITCH_OVER:
            self.step = PromotionStep.HANDING_OVER
            actions.append(
                SetTimer(Timer.QUIESCE, now + QUIESCE_TIMEOUT_SECONDS)
            )
            actions.append(
                SetTimer(Timer.CATCH_UP, now + CATCH_UP_TIMEOUT_SECONDS)
            )
            return actions
        return actions + self.fence_remaining_servers()

    @on.register
    def _(self, event: ClaimConflict, now: float) -> list[Action]:
        if self.step is not PromotionStep.CLAIMING:
            return []
        return self.abandon(AbandonReason.SUPERSEDED, event.current)

    @on.register
    def _(self, event: StoreLost, now: float) -> list[Action]:
        if self.step is PromotionStep.CLAIMING:
            return self.abandon(AbandonReason.STORE_UNAVAILABLE)
        if self.step is not PromotionStep.OPENING:
            return []
        at = now + self.open_retry_seconds
        self.open_retry_seconds = min(
            2 * self.open_retry_seconds, MAX_OPEN_RETRY_SECONDS
        )
        return [SetTimer(Timer.OPEN_RETRY, at)]

    @on.register
    def _(self, event: LeaseGivenUp, now: float) -> list[Action]:
        self.given_up.add(event.vm)
        return self.fence_old_primary() + self.close_leases(now)

    def close_leases(self, now: float) -> list[Action]:
        """Close the leases once every writer has given up its own.

        The leases of removed writers, which are not asked, have to expire
        first.
        """
        if self.leases_closed or not self.all_leases_given_up():
            return []
        if now < self.plan.removed_writers_expire_at:
            at = min(
                self.plan.removed_writers_expire_at,
                self.leases_expire_at(self.claimed_at),
            )
            return [SetTimer(Timer.LEASES, at)]
        self.leases_closed = True
        return self.open_if_ready(now)

    @on.register
    def _(self, event: Fenced, now: float) -> list[Action]:
        report = event.report
        self.failed.discard(report.server)
        if report.term != self.term:
            self.failed.add(report.server)
            return []
        self.fenced[report.server] = report
        if self.step is PromotionStep.HANDING_OVER:
            self.final_position = report.position
            assert self.plan.target is not None
            return [ProbeServer(self.plan.target)]
        if self.step is PromotionStep.ANNOUNCING:
            return [self.announcement(report.server)]
        if self.step is not PromotionStep.CLOSING:
            return []
        if len(self.fenced) == self.plan.quorum.fence_count:
            timer = SetTimer(Timer.GRACE, now + FENCE_GRACE_SECONDS)
            return [timer, *self.open_if_ready(now)]
        return self.open_if_ready(now)

    @on.register
    def _(self, event: FenceRefused, now: float) -> list[Action]:
        return self.record_server_failure(event.server, now)

    @on.register
    def _(self, event: Unreachable, now: float) -> list[Action]:
        return self.record_server_failure(event.server, now)

    @on.register
    def _(self, event: Probed, now: float) -> list[Action]:
        if self.step is not PromotionStep.HANDING_OVER:
            return []
        if event.report.position == self.final_position:
            return self.fence_remaining_servers()
        return [SetTimer(Timer.PROBE, now + TARGET_PROBE_INTERVAL_SECONDS)]

    @on.register
    def _(self, event: Opened, now: float) -> list[Action]:
        if self.step is not PromotionStep.OPENING:
            return []
        return self.announce(event.row)

    @on.register
    def _(self, event: OpenConflict, now: float) -> list[Action]:
        if self.step is not PromotionStep.OPENING:
            return []
        if event.current is not None and event.current == self.opened:
            return self.announce(event.current)
        return self.abandon(AbandonReason.SUPERSEDED, event.current)

    @on.register
    def _(self, event: Announced, now: float) -> list[Action]:
        if self.step is not PromotionStep.ANNOUNCING:
            return []
        assert self.opened is not None
        if event.server != self.opened.primary:
            return []
        return self.finish(announced=True)

    @on.register
    def _(self, event: AnnounceFailed, now: float) -> list[Action]:
        if self.step is not PromotionStep.ANNOUNCING:
            return []
        assert self.opened is not None
        if event.server != self.opened.primary:
            return []
        self.failed_announcements += 1
        if self.failed_announcements >= MAX_ANNOUNCE_ATTEMPTS:
            return self.finish(announced=False)
        return [SetTimer(Timer.ANNOUNCE_RETRY, now + ANNOUNCE_RETRY_SECONDS)]

    @on.register
    def _(self, event: TimerFired, now: float) -> list[Action]:
        match event.timer:
            case Timer.LEASES:
                self.leases_closed = True
                self.lease_wait_expired = True
                return self.open_if_ready(now)
            case Timer.GRACE:
                self.grace_expired = True
                return self.open_if_ready(now)
            case Timer.FENCE_RETRY:
                return self.retry_fences()
            case Timer.QUIESCE:
                return self.fence_old_primary(waited=True)
            case Timer.CATCH_UP if self.step is PromotionStep.HANDING_OVER:
                return self.fence_remaining_servers()
            case Timer.PROBE if self.step is PromotionStep.HANDING_OVER:
                assert self.plan.target is not None
                return [ProbeServer(self.plan.target)]
            case Timer.OPEN_RETRY if self.step is PromotionStep.OPENING:
                assert self.claimed is not None and self.opened is not None
                return [OpenTerm(self.claimed, self.opened)]
            case Timer.ANNOUNCE_RETRY if self.step is PromotionStep.ANNOUNCING:
                assert self.opened is not None
                return [self.announcement(self.opened.primary)]
            case Timer.DEADLINE if self.step in (
                PromotionStep.HANDING_OVER,
                PromotionStep.CLOSING,
            ):
                return self.abandon(self.failure_reason(), self.claimed)
        return []

    def leases_expire_at(self, claimed_at: float) -> float:
        """Return when all leases of earlier terms have expired, in seconds."""
        if self.plan.leases_expire_at is not None:
            return self.plan.leases_expire_at
        return claimed_at + LEASE_WAIT_SECONDS

    def all_leases_given_up(self) -> bool:
        """Return whether every writer of the earlier term gave up its lease."""
        return self.given_up.issuperset(self.plan.old_writers)

    def fence_old_primary(self, waited: bool = False) -> list[Action]:
        """Fence the old primary of a switch-over if the writers are ready.

        A writer confirms that it gave up its lease after its work in progress
        has ended or its own wait limit has passed. Once all writers have
        confirmed, the fence rolls back only work that outlasted that limit.

        Args:
          waited: Whether the wait for the writers has timed out.
        """
        moving = self.step is PromotionStep.HANDING_OVER
        if not moving or self.primary_fence_sent:
            return []
        if not waited and not self.all_leases_given_up():
            return []
        self.primary_fence_sent = True
        return [FenceServer(self.old_primary(), self.term)]

    def fence_remaining_servers(self) -> list[Action]:
        """Enter the closing step and fence all servers not fenced yet."""
        self.step = PromotionStep.CLOSING
        return [
            FenceServer(server, self.term)
            for server in self.plan.servers
            if server not in self.fenced
        ]

    def retry_fences(self) -> list[Action]:
        """Retry fencing the servers whose last fence request failed."""
        if self.step is not PromotionStep.CLOSING:
            return []
        servers = sorted(self.failed)
        self.failed.clear()
        return [FenceServer(server, self.term) for server in servers]

    def record_server_failure(self, server: str, now: float) -> list[Action]:
        """Handle a server that could not be fenced or probed."""
        if self.step is PromotionStep.HANDING_OVER:
            if server == self.plan.target and self.final_position is not None:
                return [
                    SetTimer(Timer.PROBE, now + TARGET_PROBE_INTERVAL_SECONDS)
                ]
            return self.fence_remaining_servers()
        if self.step is not PromotionStep.CLOSING:
            return []
        self.failed.add(server)
        retry = SetTimer(Timer.FENCE_RETRY, now + FENCE_RETRY_SECONDS)
        return [retry, *self.open_if_ready(now)]

    def open_if_ready(self, now: float) -> list[Action]:
        """Choose a primary and open the term if its conditions are met.

        The leases of earlier terms have to be closed and a quorum of servers
        fenced, so that no write of an earlier term can be acknowledged after
        the choice.
        """
        if self.step is not PromotionStep.CLOSING or not self.leases_closed:
            return []
        if not (self.has_quorum() and self.is_fence_wait_over()):
            return []
        chosen = choose_primary(
            self.fenced.values(),
            self.plan.branch,
            self.plan.avoid,
            self.plan.target,
        )
        if chosen is None:
            return []
        assert self.claimed is not None
        branch = extend_branch(
            self.plan.branch, self.term, chosen.position.offset
        )
        self.opened = attrs.evolve(
            self.claimed,
            phase=GroupPhase.ACTIVE,
            primary=chosen.server,
            writers=self.plan.writers,
            branch=branch,
        )
        self.step = PromotionStep.OPENING
        return [OpenTerm(self.claimed, self.opened)]

    def has_quorum(self) -> bool:
        """Return whether enough servers are fenced to open the term."""
        if len(self.fenced) >= self.plan.quorum.fence_count:
            return True
        forced = self.plan.cause is PromotionCause.FORCED
        return forced and bool(self.fenced) and self.lease_wait_expired

    def is_fence_wait_over(self) -> bool:
        """Return whether the wait for further servers to be fenced is over."""
        if self.grace_expired or self.lease_wait_expired:
            return True
        if self.plan.cause is PromotionCause.SWITCH_OVER:
            return self.plan.target in self.fenced
        awaited = set(self.plan.servers) - self.fenced.keys() - self.failed
        if self.plan.cause is PromotionCause.FAILURE:
            awaited.discard(self.old_primary())
        return not awaited

    def old_primary(self) -> str:
        """Return the primary of the last open term."""
        return self.claimed.primary if self.claimed else ""

    def failure_reason(self) -> AbandonReason:
        """Return the reason for which the term could not be opened in time."""
        if self.has_quorum():
            return AbandonReason.NO_CANDIDATE
        return AbandonReason.TOO_FEW_SERVERS

    def announce(self, row: GroupRow) -> list[Action]:
        """Announce the open term, first to its primary, then to the others."""
        self.step = PromotionStep.ANNOUNCING
        self.opened = row
        others = sorted(self.fenced.keys() - {row.primary})
        return [self.announcement(name) for name in (row.primary, *others)]

    def announcement(self, server: str) -> AnnouncePrimary:
        """Return the action that announces the open term to a server."""
        assert self.opened is not None
        start = self.opened.branch.starts[-1]
        return AnnouncePrimary(
            server, self.opened.term, start.offset, self.opened.primary
        )

    def finish(self, announced: bool) -> list[Action]:
        """End the promotion with an open term."""
        assert self.opened is not None
        self.step = PromotionStep.OVER
        return [Finished(self.opened, announced)]

    def abandon(
        self, reason: AbandonReason, current: GroupRow | None = None
    ) -> list[Action]:
        """End the promotion without an open term."""
        self.step = PromotionStep.OVER
        return [Abandoned(reason, current)]
