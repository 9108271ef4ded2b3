"""Planning and execution of a group's promotions."""

from collections.abc import Callable

from jackdawcrank.groups.group_context import GroupContext
from jackdawcrank.groups.group_probes import GroupProbes
from jackdawcrank.groups.promotion_runner import PromotionRunner
from jackdawcrank_policy.promotion import (
    Abandoned,
    AbandonReason,
    Action,
    ClaimTerm,
    Event,
    Fenced,
    Finished,
    OpenTerm,
    Promotion,
    PromotionCause,
    PromotionPlan,
    Timer,
    TimerFired,
)
from jackdawcrank_policy.values import GroupRow
from jackdawcrank_wire.events import EventKind


class PromotionDriver:
    """Runs one promotion at a time and records its steps.

    Attributes:
      context: The group.
      probes: The probes of the group's servers.
      store_row: Applies a row that this VM wrote.
      runner: Runs the current promotion; None if there is none.
    """

    def __init__(
        self,
        context: GroupContext,
        probes: GroupProbes,
        store_row: Callable[[GroupRow, int], None],
    ) -> None:
        self.context = context
        self.probes = probes
        self.store_row = store_row
        self.runner: PromotionRunner | None = None

    @property
    def busy(self) -> bool:
        """Return whether a promotion is in progress."""
        return self.runner is not None

    async def promote(
        self, cause: PromotionCause, target: str | None = None
    ) -> Finished | Abandoned:
        """Run one promotion to its end.

        Args:
          cause: Why the term is claimed.
          target: The preferred new primary, if any.
        """
        assert self.runner is None
        context = self.context
        plan = self.plan(cause, target)
        context.record_event(EventKind.PROMOTION_STARTED, cause=cause)
        self.runner = PromotionRunner(
            Promotion(plan),
            context.servers,
            context.store,
            context.peers,
            context.leases,
            context.timer,
            context.tasks,
            self.store_row,
            self.record_step,
            context.quiesce,
        )
        try:
            end = await self.runner.run()
        finally:
            self.runner = None
        self.record_end(end)
        return end

    def plan(self, cause: PromotionCause, target: str | None) -> PromotionPlan:
        """Return the inputs of a promotion."""
        context = self.context
        history = context.history
        reports = self.probes.reports().values()
        avoid = context.avoid
        if cause is PromotionCause.FAILURE and context.row is not None:
            avoid = avoid | {context.row.primary}
        return PromotionPlan(
            group=context.spec.name,
            vm=context.vm,
            cause=cause,
            expected=context.row,
            servers=tuple(sorted(context.servers)),
            writers=context.next_writers(),
            target=target,
            avoid=avoid,
            highest_term=max((one.term for one in reports), default=0),
            leases_expire_at=history.leases_expire_at(),
            removed_writers_expire_at=history.removed_writers_expire_at,
        )

    def record_step(self, step: Action | Event) -> None:
        """Record the event for a step of the promotion, if it has one."""
        record_event = self.context.record_event
        match step:
            case ClaimTerm():
                record_event(EventKind.PROMOTION_PREPARING, claim=step.row.term)
            case Fenced(report):
                record_event(
                    EventKind.PROMOTION_SERVER_FENCED,
                    server=report.server,
                    position=report.position,
                )
            case TimerFired(Timer.LEASES):
                record_event(EventKind.PROMOTION_LEASES_ENDED)
            case OpenTerm():
                record_event(
                    EventKind.PROMOTION_PRIMARY_CHOSEN,
                    primary=step.row.primary,
                    offset=step.row.branch.starts[-1].offset,
                )

    def record_end(self, end: Finished | Abandoned) -> None:
        """Record how the promotion ended."""
        if isinstance(end, Finished):
            self.context.record_event(
                EventKind.PROMOTION_FINISHED,
                primary=end.row.primary,
                announced=end.announced,
            )
        elif end.reason is AbandonReason.SUPERSEDED:
            self.context.record_event(
                EventKind.PROMOTION_ABANDONED, reason=end.reason
            )
        else:
            self.context.block(end.reason)
