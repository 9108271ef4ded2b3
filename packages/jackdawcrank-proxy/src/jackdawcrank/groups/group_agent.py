"""Coordination of one database group on one of its home VMs."""

import random
from collections.abc import Callable, Mapping

from jackdawcrank.backend.server_control import ServerControl
from jackdawcrank.groups.claim_watch import ClaimWatch
from jackdawcrank.groups.group_context import GroupContext, RowCallback
from jackdawcrank.groups.group_peers import GroupPeers
from jackdawcrank.groups.group_probes import GroupProbes
from jackdawcrank.groups.group_status import GroupStatus
from jackdawcrank.groups.group_store import GroupStore, Stored
from jackdawcrank.groups.primary_watch import PrimaryWatch
from jackdawcrank.groups.probe_result import ProbeResult
from jackdawcrank.groups.promotion_driver import PromotionDriver
from jackdawcrank.groups.server_alignment import ServerAlignment
from jackdawcrank.groups.switch_over_outcome import (
    Incomplete,
    Moved,
    Refused,
    SwitchOverOutcome,
)
from jackdawcrank.timer import Subscription, Timer
from jackdawcrank_policy.budget import writer_names
from jackdawcrank_policy.coordination import reconcile_row
from jackdawcrank_policy.detection import PrimaryEvidence
from jackdawcrank_policy.lease import LeaseTable
from jackdawcrank_policy.promotion import (
    Abandoned,
    Finished,
    PromotionCause,
)
from jackdawcrank_policy.values import (
    GroupPhase,
    GroupRow,
    GroupSpec,
    ServerReport,
)
from jackdawcrank_wire.events import EventKind

RECONCILE_INTERVAL_SECONDS = 1.0
HOMES_STABLE_SECONDS = 2.0
ANNOUNCE_ROW_TIMEOUT_SECONDS = 0.5
MAX_SWITCH_OVER_LAG = 1000

ReportCallback = Callable[[ServerReport, float, float], None]


class GroupAgent:
    """Monitors a group's servers and fails over its primary.

    Runs on each home of the group. The acting coordinator reconciles the row
    and the servers. Any home may drive a promotion; takeover delays let the
    coordinator go first. Every claim is a compare-and-set in the store.

    Attributes:
      context: The state that all parts of the coordination share.
      probes: The probes of the group's servers.
      driver: Runs the group's promotions.
      primary_watch: Replaces a failed primary.
      claim_watch: Claims the first term and takes over abandoned claims.
      server_alignment: Brings returning servers to the open term.
    """

    def __init__(
        self,
        vm: str,
        spec: GroupSpec,
        servers: Mapping[str, ServerControl],
        store: GroupStore,
        peers: GroupPeers,
        leases: LeaseTable,
        on_event: Callable[..., object],
        timer: Timer,
        homes: tuple[str, ...],
        on_row: RowCallback | None = None,
        on_report: ReportCallback | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.context = GroupContext(
            vm=vm,
            spec=spec,
            servers=dict(servers),
            store=store,
            peers=peers,
            leases=leases,
            timer=timer,
            on_event=on_event,
            homes=homes,
            live=frozenset(homes),
        )
        self.on_row = on_row
        self.on_report = on_report
        self.rng = rng or random.Random()
        self.probes = GroupProbes(
            self.context.servers, timer, self.handle_probe_result
        )
        self.driver = PromotionDriver(self.context, self.probes, self.store_row)
        self.primary_watch = PrimaryWatch(
            self.context, self.probes, self.driver
        )
        self.claim_watch = ClaimWatch(self.context, self.probes, self.driver)
        self.server_alignment = ServerAlignment(self.context)
        self.homes_changed_at = 0.0
        self.reconcile_subscription: Subscription | None = None

    async def start(self) -> None:
        """Start monitoring the group."""
        self.homes_changed_at = self.context.timer.now()
        self.probes.start()
        self.claim_watch.start()
        self.reconcile_subscription = self.context.timer.subscribe(
            f"upkeep {self.context.spec.name}",
            RECONCILE_INTERVAL_SECONDS,
            self.reconcile,
            jitter_fraction=0.1,
            rng=self.rng,
        )

    async def close(self) -> None:
        """Stop monitoring; another home takes over a promotion in progress."""
        self.context.closed = True
        if self.reconcile_subscription is not None:
            self.reconcile_subscription.close()
        self.claim_watch.close()
        await self.probes.close()
        await self.context.tasks.close()

    def status(self) -> GroupStatus:
        """Return the state of the group as this VM sees it."""
        now = self.context.timer.now()
        return GroupStatus(
            row=self.context.row,
            health=self.probes.detector.health(now),
            promoting=self.driver.busy,
            blocked=self.context.blocked,
            divergent_entries=dict(self.server_alignment.divergent),
        )

    def homes_changed(
        self, homes: tuple[str, ...], live: frozenset[str]
    ) -> None:
        """Update the group's homes after a membership change.

        Args:
          homes: The homes, in the order on which all VMs agree.
          live: The VMs that are known to be alive.
        """
        context = self.context
        if (homes, live) == (context.homes, context.live):
            return
        context.homes = homes
        context.live = live
        self.homes_changed_at = context.timer.now()
        if context.row is not None:
            self.probes.update_row(context.row, context.is_acting)

    def spec_changed(self, spec: GroupSpec, avoid: frozenset[str]) -> None:
        """Update the group's declared configuration.

        Args:
          spec: The declaration.
          avoid: Servers that are leaving and should not become primary.
        """
        self.context.spec = spec
        self.context.avoid = avoid

    def server_joined(self, server: ServerControl) -> None:
        """Start probing a server that was added to the group."""
        self.context.servers[server.name] = server
        self.probes.add(server)

    async def server_left(self, name: str) -> None:
        """Stop probing a server that was removed from the group."""
        self.context.servers.pop(name, None)
        await self.probes.remove(name)

    def row_changed(
        self, row: GroupRow, version: int, in_order: bool = False
    ) -> None:
        """Process a row of the group; an outdated one is ignored.

        Args:
          row: The row.
          version: The change log's version at which it was written.
          in_order: Whether this row directly follows the one known before.
            If not, a writer may have been removed unnoticed: a promotion
            then relies on the writers giving up their leases only after all
            earlier leases have expired.
        """
        context = self.context
        earlier = context.row
        now = context.timer.now()
        if not context.history.observe(row, version, now, in_order):
            return
        context.leases.install(row, version)
        if row.phase is GroupPhase.ACTIVE:
            context.blocked = ""
        self.primary_watch.update_row(earlier, row)
        self.claim_watch.update_row(row)
        self.probes.update_row(row, context.is_acting)

    def row_announced(self, row: GroupRow, version: int) -> None:
        """Process a row that another VM sent ahead of the change log."""
        self.row_changed(row, version)

    def give_up_requested(self, term: int) -> bool:
        """Give up the leases on all terms below a coordinator's claim.

        Args:
          term: The claimed term.

        Returns:
          True, as this VM acts for no term below the claim from now on.
        """
        context = self.context
        context.leases.give_up(context.spec.name, term - 1)
        if context.row is not None and context.row.term < term:
            context.history.observe_claim(context.timer.now())
        context.record_event(EventKind.LEASE_GIVEN_UP, claim=term)
        return True

    async def suspicion_asked(self) -> PrimaryEvidence:
        """Return evidence on the primary to a home that suspects it.

        The primary is probed first if its last answer is not recent.
        """
        await self.probes.refresh_primary()
        now = self.context.timer.now()
        health = self.probes.detector.corroborating_health(now)
        return self.primary_watch.evidence(health)

    def observe_answer(
        self, server: str, sent_at: float, answered_at: float
    ) -> None:
        """Record an answer to a caller's statement as evidence of liveness.

        Args:
          server: The server that answered.
          sent_at: When the statement was sent, in seconds.
          answered_at: When its answer was read, in seconds.
        """
        if server == self.probes.primary:
            self.probes.detector.answered(sent_at, answered_at)
        else:
            self.probes.detector.other_answered(sent_at)

    def observe_silence(self, server: str) -> None:
        """Probe a server immediately after it timed out on a statement.

        Args:
          server: The server's name.
        """
        self.probes.probe_immediately(server)

    async def switch_over(self, target: str | None = None) -> SwitchOverOutcome:
        """Perform a planned switch-over of the primary.

        Args:
          target: The server to move to; None for the most advanced replica.
        """
        row = self.context.row
        if self.driver.busy:
            return Refused("a promotion is under way")
        if row is None or row.phase is not GroupPhase.ACTIVE:
            return Refused("the group has no open term")
        await self.probes.refresh()
        reports = self.probes.reports()
        if row.primary not in reports:
            return Refused("the primary does not answer")
        chosen = target or self.best_replica(reports, row)
        if chosen not in reports or chosen == row.primary:
            return Refused(f"{chosen or 'no replica'} cannot take over")
        if not row.branch.contains(reports[chosen].position):
            return Refused(f"{chosen} is not on the branch of the term")
        end_offset = reports[row.primary].position.offset
        lag = end_offset - reports[chosen].position.offset
        if lag > MAX_SWITCH_OVER_LAG:
            return Refused(f"{chosen} is {lag} entries behind")
        await self.wait_for_removed_writers()
        if self.driver.busy or self.context.row != row:
            return Refused(
                "the group changed before the switch-over could start"
            )
        cause = PromotionCause.SWITCH_OVER
        return _to_outcome(await self.driver.promote(cause, chosen))

    async def wait_for_removed_writers(self) -> None:
        """Wait until the leases of removed writers have expired.

        From then on, the current writers giving up their leases is enough.
        """
        left = (
            self.context.history.removed_writers_expire_at
            - self.context.timer.now()
        )
        if left > 0:
            await self.context.pause(left)

    async def force_promote(
        self, target: str | None = None
    ) -> SwitchOverOutcome:
        """Open a new term with too few servers at an operator's request.

        The operator must make sure that the unreachable servers are stopped.
        Writes that only they hold are lost.

        Args:
          target: The server to prefer among equally advanced ones.
        """
        if self.driver.busy:
            return Refused("a promotion is under way")
        cause = PromotionCause.FORCED
        return _to_outcome(await self.driver.promote(cause, target))

    def best_replica(
        self, reports: Mapping[str, ServerReport], row: GroupRow
    ) -> str | None:
        """Return the most advanced replica, or None if there is none.

        Servers to avoid are chosen only if there is no other.
        """
        candidates = [
            (name in self.context.avoid, -report.position.offset, name)
            for name, report in reports.items()
            if name != row.primary and row.branch.contains(report.position)
        ]
        return min(candidates)[2] if candidates else None

    def handle_probe_result(self, result: ProbeResult) -> None:
        """Forward a probe's result and check the servers and the primary."""
        report = result.report
        if report is not None and self.on_report is not None:
            self.on_report(report, result.sent_at, result.ended_at)
        if report is not None and not self.driver.busy:
            self.server_alignment.check(report)
        self.primary_watch.check()

    def store_row(self, row: GroupRow, version: int) -> None:
        """Apply a row that this VM wrote and send it to homes and writers."""
        self.row_changed(row, version, in_order=True)
        if self.on_row is not None:
            self.on_row(row, version)
        writers = writer_names(row.writers)
        for home in dict.fromkeys((*self.context.homes, *writers)):
            if home != self.context.vm:
                self.context.tasks.spawn(self.announce_row(home, row, version))

    async def announce_row(
        self, home: str, row: GroupRow, version: int
    ) -> None:
        """Send a row that this VM wrote to another VM."""
        await self.context.peers.announce_row(
            home, row, version, ANNOUNCE_ROW_TIMEOUT_SECONDS
        )

    async def reconcile(self, now: float) -> None:
        """Reconcile the row's writers and coordinator with the homes."""
        context = self.context
        row = context.row
        if row is None or self.driver.busy:
            return
        if now - self.homes_changed_at < HOMES_STABLE_SECONDS:
            return
        freed = context.history.freed(now)
        wanted = reconcile_row(
            row, context.vm, context.homes, context.live, freed
        )
        if wanted is None:
            return
        outcome = await context.store.claim(row, wanted)
        if isinstance(outcome, Stored):
            self.store_row(wanted, outcome.version)
            context.record_event(
                EventKind.HOMES_CHANGED, writers=wanted.writers
            )


def _to_outcome(end: Finished | Abandoned) -> SwitchOverOutcome:
    """Convert the result of a promotion to a switch-over outcome."""
    if isinstance(end, Finished):
        return Moved(end.row)
    return Incomplete(end.reason)
