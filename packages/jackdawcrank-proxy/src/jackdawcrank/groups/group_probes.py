"""Health probes of all servers of one group."""

import asyncio
from collections.abc import Callable, Mapping

from jackdawcrank.backend.server_control import ServerControl, Unreachable
from jackdawcrank.groups.probe_result import ProbeResult
from jackdawcrank.groups.server_probe import ServerProbe
from jackdawcrank.timer import Timer
from jackdawcrank_policy.detection import (
    PROBE_INTERVAL_SECONDS,
    PrimaryDetector,
)
from jackdawcrank_policy.values import (
    GroupPhase,
    GroupRow,
    ServerReport,
    ServerRole,
)

STEADY_PROBE_INTERVAL_SECONDS = 1.0
STEADY_PRIMARY_PROBE_INTERVAL_SECONDS = 0.5
MAX_ANSWER_AGE_SECONDS = 0.3
MAX_REPORT_AGE_SECONDS = 2.0
PRIMARY_GRACE_SECONDS = 1.0
NEW_TERM_SECONDS = 2.0


class GroupProbes:
    """Probes a group's servers and updates the primary's failure detector.

    Attributes:
      detector: The failure detector of the row's primary.
      row: The group's newest row.
      row_since: When the current term was first seen, in seconds.
    """

    def __init__(
        self,
        servers: Mapping[str, ServerControl],
        timer: Timer,
        on_result: Callable[[ProbeResult], None],
    ) -> None:
        self.timer = timer
        self.on_result = on_result
        self.detector = PrimaryDetector()
        self.row: GroupRow | None = None
        self.row_since = 0.0
        self.coordinating = False
        self.probes = {
            name: ServerProbe(
                server,
                STEADY_PROBE_INTERVAL_SECONDS,
                timer,
                self.handle_probe_result,
            )
            for name, server in servers.items()
        }

    def start(self) -> None:
        """Start probing all servers."""
        for probe in self.probes.values():
            probe.start()

    async def close(self) -> None:
        """Stop probing."""
        await asyncio.gather(*(one.close() for one in self.probes.values()))

    def add(self, server: ServerControl) -> None:
        """Start probing a server that is new or whose declaration changed."""
        earlier = self.probes.get(server.name)
        if earlier is not None:
            earlier.stop()
        probe = ServerProbe(
            server,
            STEADY_PROBE_INTERVAL_SECONDS,
            self.timer,
            self.handle_probe_result,
        )
        self.probes[server.name] = probe
        probe.start()
        self.update_probe_intervals()

    async def remove(self, name: str) -> None:
        """Stop probing a server that left the group."""
        probe = self.probes.pop(name, None)
        if probe is not None:
            await probe.close()

    @property
    def primary(self) -> str:
        """Return the name of the row's primary, or an empty string."""
        return self.row.primary if self.row else ""

    def update_row(self, row: GroupRow, coordinating: bool) -> None:
        """Apply the group's newest row; a new term resets the detector.

        Args:
          row: The row.
          coordinating: Whether this VM is the acting coordinator.
        """
        now = self.timer.now()
        changed = self.row is None or self.row.term != row.term
        self.row = row
        self.coordinating = coordinating
        if changed:
            self.row_since = now
            self.detector.reset(now)
        self.update_probe_intervals()

    def update_probe_intervals(self) -> None:
        """Set each server's interval for the current state of the group.

        All servers are probed often in a new term and while the primary has
        missed answers. Otherwise only the coordinator probes the primary
        often, as replicas matter only once the primary is suspected.
        """
        new = self.timer.now() - self.row_since < NEW_TERM_SECONDS
        probe_all_often = new or self.detector.misses > 0
        for name, probe in self.probes.items():
            is_primary = name == self.primary
            if probe_all_often or (is_primary and self.coordinating):
                probe.set_interval(PROBE_INTERVAL_SECONDS)
            elif is_primary:
                probe.set_interval(STEADY_PRIMARY_PROBE_INTERVAL_SECONDS)
            else:
                probe.set_interval(STEADY_PROBE_INTERVAL_SECONDS)

    def handle_probe_result(self, result: ProbeResult) -> None:
        """Update the detector with a probe's result."""
        if result.server != self.primary:
            if result.report is not None:
                self.detector.other_answered(result.sent_at)
        elif result.report is None:
            self.handle_missing_report(result)
        elif self.is_serving(result.report, result.ended_at):
            self.detector.answered(result.sent_at, result.ended_at)
        else:
            self.detector.missed(result.sent_at, result.ended_at)
        self.update_probe_intervals()
        self.on_result(result)

    def handle_missing_report(self, result: ProbeResult) -> None:
        """Update the detector after a probe of the primary without a report."""
        if result.alive:
            self.detector.answered(result.sent_at, result.ended_at)
        elif result.refused:
            self.detector.refused(result.sent_at)
        else:
            self.detector.missed(result.sent_at, result.ended_at)

    def is_serving(self, report: ServerReport, now: float) -> bool:
        """Return whether a report is consistent with the primary's role.

        A primary that lost its state still answers, but not as the primary of
        the term. A new primary has `PRIMARY_GRACE_SECONDS` to assume its role.
        """
        row = self.row
        if row is None or row.phase is not GroupPhase.ACTIVE:
            return True
        if report.term > row.term:
            return True
        if report.term == row.term and report.role is ServerRole.PRIMARY:
            return True
        return now - self.row_since < PRIMARY_GRACE_SECONDS

    def reports(self) -> dict[str, ServerReport]:
        """Return each server's latest report if it is recent."""
        oldest_allowed = self.timer.now() - MAX_REPORT_AGE_SECONDS
        return {
            name: probe.latest.report
            for name, probe in self.probes.items()
            if probe.latest is not None
            and probe.latest.report is not None
            and probe.latest.sent_at >= oldest_allowed
        }

    def probe_immediately(self, name: str) -> None:
        """Probe a server without waiting for its interval."""
        probe = self.probes.get(name)
        if probe is not None:
            probe.schedule(0.0)

    async def recheck_primary(self, timeout_seconds: float) -> bool:
        """Probe the primary once more and return whether it is serving.

        Args:
          timeout_seconds: The timeout of the probe.
        """
        probe = self.probes.get(self.primary)
        if probe is None:
            return False
        sent_at = self.timer.now()
        report = await probe.server.probe(timeout_seconds)
        if isinstance(report, Unreachable):
            return False
        now = self.timer.now()
        if not self.is_serving(report, now):
            return False
        self.detector.answered(sent_at, now)
        return True

    async def refresh(self) -> None:
        """Probe all servers now and wait for the results."""
        await asyncio.gather(*(one.probe() for one in self.probes.values()))

    async def refresh_primary(self) -> None:
        """Probe the primary unless its last answer is recent enough."""
        probe = self.probes.get(self.primary)
        if probe is None:
            return
        if (
            self.detector.silent_seconds(self.timer.now())
            > MAX_ANSWER_AGE_SECONDS
        ):
            await probe.probe()
