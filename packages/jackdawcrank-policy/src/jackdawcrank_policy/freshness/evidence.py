"""Evidence of the positions and data ages of one database group."""

import math

import attrs

from jackdawcrank_policy.freshness.primary_history import PrimaryHistory
from jackdawcrank_policy.freshness.server_evidence import ServerEvidence
from jackdawcrank_policy.values import (
    Branch,
    Position,
    ServerReport,
    ServerRole,
)


@attrs.define
class Evidence:
    """What is proven about each server of a group on the current branch.

    A replica's age is counted from an instant up to which it holds every
    write. If a probe of the primary sent at time t reports position P, every
    commit before t is at or below P, so a replica at or above P holds every
    write up to t. This holds only while no later term is open; instants after
    `term_held_until` are therefore not used. The `caught_up` field of reports
    is not used either, because a replica that is cut off does not know which
    entries it lacks.

    Attributes:
      branch: The branch to which the evidence applies.
      term_held_until: Until when the branch's term is known to be the newest
        open term, in seconds of the monotonic clock.
      servers: The evidence of each server on the branch, by name.
      primary: The known bounds of the primary's log.
      latest_probe_sent_at: When the latest processed probe of each server was
        sent, by name, in seconds of the monotonic clock.
    """

    branch: Branch = Branch()
    term_held_until: float = -math.inf
    servers: dict[str, ServerEvidence] = attrs.Factory(dict)
    primary: PrimaryHistory = attrs.Factory(PrimaryHistory)
    latest_probe_sent_at: dict[str, float] = attrs.Factory(dict)

    def begin_term(self, branch: Branch) -> None:
        """Move to a newer branch and keep only servers proven to be on it.

        A server is proven to be on the branch if it was fenced with the
        branch's term or a later one and its log is on the branch. The new
        term is not held until `hold_term` is called. An older branch or one
        of the same term is ignored.

        Args:
          branch: The group's new branch.
        """
        if branch.term <= self.branch.term:
            return
        self.branch = branch
        self.term_held_until = -math.inf
        self.primary = PrimaryHistory()
        self.servers = {
            name: evidence
            for name, evidence in self.servers.items()
            if evidence.term >= branch.term
            and branch.contains(evidence.position)
        }

    def hold_term(self, until: float) -> None:
        """Record that no later term opens before an instant.

        Args:
          until: The end of the term lease, or the time up to which another
            proof applies, in seconds of the monotonic clock.
        """
        self.term_held_until = max(self.term_held_until, until)

    def observe(
        self, report: ServerReport, sent_at: float, answered_at: float
    ) -> None:
        """Process the answer to a probe.

        Two kinds of answers are ignored: those that arrive after the answer
        to a later probe, and those given before the server was fenced with
        the branch's term. The evidence of a server whose log is not on the
        branch is removed.

        Args:
          report: The server's answer.
          sent_at: When the probe was sent, in seconds of the monotonic clock.
          answered_at: When the answer arrived.
        """
        server = report.server
        if sent_at <= self.latest_probe_sent_at.get(server, -math.inf):
            return
        self.latest_probe_sent_at[server] = sent_at
        if report.term < self.branch.term:
            return
        if not self.branch.contains(report.position):
            self.servers.pop(server, None)
            return
        self.record(report, sent_at)
        if self.is_primary_report(report):
            self.primary.add(sent_at, report.position)

    def record(self, report: ServerReport, sent_at: float) -> None:
        """Store the report of a server on the branch.

        A report with a later fence term proves a position but does not bound
        earlier reads, because the server may have removed entries since then.
        """
        known = ServerEvidence(report.position, report.term, sent_at)
        earlier = self.servers.get(report.server)
        if earlier is not None:
            known.history = earlier.history
        self.servers[report.server] = known
        if report.term == self.branch.term:
            known.history.add(sent_at, report.position)

    def is_primary_report(self, report: ServerReport) -> bool:
        """Return whether a report comes from the branch's primary."""
        if report.role is not ServerRole.PRIMARY:
            return False
        return report.term == self.branch.term

    def observe_write(self, position: Position, sent_at: float) -> None:
        """Process the position of an acknowledged write.

        Args:
          position: The position in the primary's answer.
          sent_at: When the write was sent, in seconds of the monotonic clock;
            its entry was not in the log before then.
        """
        if position.term == self.branch.term:
            self.primary.add(sent_at, position)

    def position(self, server: str) -> Position | None:
        """Return the position that a server is proven to have reached."""
        known = self.servers.get(server)
        return None if known is None else known.position

    def reached(self, server: str, position: Position, branch: Branch) -> bool:
        """Return whether a server is proven to hold an entry.

        Args:
          server: The server's name.
          position: The entry's position.
          branch: The group's branch.
        """
        known = self.position(server)
        if known is None or not branch.contains(known):
            return False
        return branch.contains(position) and known.offset >= position.offset

    def complete_as_of(self, server: str) -> float | None:
        """Return an instant up to which a server holds every write.

        Args:
          server: The server's name.
        """
        known = self.position(server)
        if known is None:
            return None
        instant = self.primary.complete_as_of(known)
        if instant is None:
            return None
        instant = min(instant, self.term_held_until)
        return instant if math.isfinite(instant) else None

    def age(self, server: str, now: float) -> float | None:
        """Return an upper bound of a server's data age in seconds, if known.

        Args:
          server: The server's name.
          now: The current time.
        """
        instant = self.complete_as_of(server)
        return None if instant is None else max(0.0, now - instant)

    def replication_lag(self, server: str) -> float | None:
        """Return the seconds by which a server trailed the known primary.

        The data's age is greater by the time since the primary was last
        probed; new probes of both servers may remove this difference.

        Args:
          server: The server's name.
        """
        instant = self.complete_as_of(server)
        if instant is None:
            return None
        return max(0.0, self.primary.instants[-1] - instant)

    def catch_up_seconds(
        self, server: str, position: Position, now: float
    ) -> float | None:
        """Estimate the seconds until a server reaches a position.

        The estimate assumes that the replication lag stays as it was at the
        last probe of the server.

        Args:
          server: The server's name.
          position: A position on the branch.
          now: The current time in seconds of the monotonic clock.

        Returns:
          None if the server's lag or the time of the position is not known.
        """
        known = self.servers.get(server)
        if known is None:
            return None
        if known.position.offset >= position.offset:
            return 0.0
        sent_at = known.sent_at
        reached_at = self.primary.instant_of(known.position.offset, sent_at)
        target_at = self.primary.instant_of(position.offset, now)
        if reached_at is None or target_at is None:
            return None
        lag = max(0.0, sent_at - reached_at)
        return max(0.0, target_at + lag - now)

    def bound_after(self, server: str, instant: float) -> Position | None:
        """Return an upper bound of the position that a past read returned.

        Args:
          server: The server that answered the read, in the branch's term.
          instant: When the answer arrived, in seconds of the monotonic clock.

        Returns:
          None until a probe sent after the instant has been answered.
        """
        known = self.servers.get(server)
        return None if known is None else known.history.first_after(instant)

    def min_position(self, servers: tuple[str, ...]) -> Position | None:
        """Return a position that all given servers have reached, if known."""
        positions = [self.position(server) for server in servers]
        known = [p for p in positions if p is not None]
        if not known or len(known) < len(positions):
            return None
        return min(known, key=lambda p: p.offset)

    def forget(self, server: str) -> None:
        """Remove the evidence of a server.

        The time of its latest probe is kept, so that a late answer to an
        earlier probe does not restore an older position.

        Args:
          server: The server's name.
        """
        self.servers.pop(server, None)
