"""The evidence of one database group's positions and ages."""

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
    """What is proved of each server of a group on the current branch.

    A replica's age counts from an instant by which it holds every write. The
    primary's position P, shown by a probe sent at t, bounds what was
    committed before t, so a replica at P or above holds everything up to t.
    That is true only while no later term is open: instants after
    `term_held_until` are not counted. A report's `caught_up` is not used,
    since a replica that is cut off does not know what it lacks.

    Attributes:
      branch: The branch that the evidence is about.
      term_held_until: Until when the branch's term is known to be the newest
        that is open, in seconds of the monotonic clock.
      servers: The evidence of each server that is on the branch.
      primary: What is known of the primary's log.
      latest_probe_sent_at: When the newest probe that was taken in was sent.
    """

    branch: Branch = Branch()
    term_held_until: float = -math.inf
    servers: dict[str, ServerEvidence] = attrs.Factory(dict)
    primary: PrimaryHistory = attrs.Factory(PrimaryHistory)
    latest_probe_sent_at: dict[str, float] = attrs.Factory(dict)

    def begin_term(self, branch: Branch) -> None:
        """Move to a newer branch; keep only servers proved to be on it.

        A server is proved if it was fenced with the branch's term or a later
        one and its log is on the branch. The term has to be held anew.

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
            if evidence.term >= branch.term and branch.keeps(evidence.position)
        }

    def hold_term(self, until: float) -> None:
        """Record that no later term opens before an instant.

        Args:
          until: The end of the term lease, or the instant of other proof.
        """
        self.term_held_until = max(self.term_held_until, until)

    def observe(
        self, report: ServerReport, sent_at: float, answered_at: float
    ) -> None:
        """Take in the answer to a probe.

        An answer that was overtaken by a later probe's, and one from before
        the server was fenced with the branch's term, are ignored. A server
        whose log is not on the branch loses its evidence.

        Args:
          report: What the server answered.
          sent_at: When the probe was sent.
          answered_at: When the answer came.
        """
        server = report.server
        if sent_at <= self.latest_probe_sent_at.get(server, -math.inf):
            return
        self.latest_probe_sent_at[server] = sent_at
        if report.term < self.branch.term:
            return
        if not self.branch.keeps(report.position):
            self.servers.pop(server, None)
            return
        self.record(report, sent_at)
        if self.is_primary_report(report):
            self.primary.add(sent_at, report.position)

    def record(self, report: ServerReport, sent_at: float) -> None:
        """Store a report of a server that is on the branch.

        A report from a later fence term proves a position, but bounds no
        earlier read: the server may have removed entries since.
        """
        known = ServerEvidence(report.position, report.term, sent_at)
        earlier = self.servers.get(report.server)
        if earlier is not None:
            known.history = earlier.history
        self.servers[report.server] = known
        if report.term == self.branch.term:
            known.history.add(sent_at, report.position)

    def is_primary_report(self, report: ServerReport) -> bool:
        """Return whether a report is that of the branch's primary."""
        if report.role is not ServerRole.PRIMARY:
            return False
        return report.term == self.branch.term

    def observe_write(self, position: Position, sent_at: float) -> None:
        """Take in the position of an acknowledged write.

        Args:
          position: The position in the primary's answer.
          sent_at: When the write was sent, before which its entry was not
            in the log.
        """
        if position.term == self.branch.term:
            self.primary.add(sent_at, position)

    def position(self, server: str) -> Position | None:
        """Return the position that a server is proved to have reached."""
        known = self.servers.get(server)
        return None if known is None else known.position

    def reached(self, server: str, position: Position, branch: Branch) -> bool:
        """Return whether a server is proved to hold an entry.

        Args:
          server: The server's name.
          position: The entry's position.
          branch: The group's branch.
        """
        known = self.position(server)
        if known is None or not branch.keeps(known):
            return False
        return branch.keeps(position) and known.offset >= position.offset

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
        """Return the greatest age of a server's data in seconds, if known.

        Args:
          server: The server's name.
          now: The current time.
        """
        instant = self.complete_as_of(server)
        return None if instant is None else max(0.0, now - instant)

    def replication_lag(self, server: str) -> float | None:
        """Return how far a server was behind what is known of the primary.

        Its age is greater by the time since the primary was probed, which a
        new probe of both may take away.

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
        """Return how long a server should still need to reach a position.

        The server is taken to stay as far behind as it was when it was last
        probed. None if that is not known.

        Args:
          server: The server's name.
          position: A position on the branch.
          now: The current time.
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
        """Return a bound of what a read that ended at an instant has seen.

        Args:
          server: The server that answered the read, in the branch's term.
          instant: When its answer came.
        """
        known = self.servers.get(server)
        return None if known is None else known.history.first_after(instant)

    def min_position(self, servers: tuple[str, ...]) -> Position | None:
        """Return a position that every one of some servers has reached."""
        positions = [self.position(server) for server in servers]
        known = [p for p in positions if p is not None]
        if not known or len(known) < len(positions):
            return None
        return min(known, key=lambda p: p.offset)

    def forget(self, server: str) -> None:
        """Drop all evidence of a server.

        Answers to probes that were sent before are still told from later
        ones, so a late answer does not bring an older position back.

        Args:
          server: The server's name.
        """
        self.servers.pop(server, None)
