"""Alignment of returning servers with the open term."""

from jackdawcrank.backend.server_control import Refused
from jackdawcrank.groups.group_context import GroupContext
from jackdawcrank_policy.coordination import (
    Announcement,
    required_announcement,
    takeover_delay,
)
from jackdawcrank_policy.values import ServerReport
from jackdawcrank_wire.events import EventKind

ALIGN_INTERVAL_SECONDS = 0.5
ALIGN_TIMEOUT_SECONDS = 0.5


class ServerAlignment:
    """Fences servers with the open term and announces its primary to them.

    Attributes:
      context: The group.
      divergent: The number of log entries, by server, that a returning
        server had and the open term does not contain.
      attempted_at: When each server was last aligned, in seconds.
      mismatch_since: Since when each server's reports disagree with the open
        term, in seconds.
    """

    def __init__(self, context: GroupContext) -> None:
        self.context = context
        self.divergent: dict[str, int] = {}
        self.attempted_at: dict[str, float] = {}
        self.mismatch_since: dict[str, float] = {}

    def check(self, report: ServerReport) -> None:
        """Align a server if its report disagrees with the open term.

        Args:
          report: The server's newest report.
        """
        row = self.context.row
        announcement = required_announcement(row, report) if row else None
        if announcement is None:
            self.mismatch_since.pop(report.server, None)
            return
        now = self.context.timer.now()
        mismatch_since = self.mismatch_since.setdefault(report.server, now)
        if now < mismatch_since + self.takeover_wait_seconds():
            return
        attempted_at = self.attempted_at.get(report.server)
        if (
            attempted_at is not None
            and now - attempted_at < ALIGN_INTERVAL_SECONDS
        ):
            return
        self.attempted_at[report.server] = now
        self.context.tasks.spawn(self.align(announcement, report))

    def takeover_wait_seconds(self) -> float:
        """Return how long this VM lets others align a server first.

        Zero for the acting coordinator; other homes wait by rank.
        """
        if self.context.is_acting:
            return 0.0
        return ALIGN_INTERVAL_SECONDS + takeover_delay(
            self.context.takeover_rank or 0
        )

    async def align(
        self, announcement: Announcement, report: ServerReport
    ) -> None:
        """Fence a server with the open term, then announce the primary."""
        server = self.context.servers.get(announcement.server)
        if server is None:
            return
        if report.term < announcement.term:
            answer = await server.fence(
                announcement.term, ALIGN_TIMEOUT_SECONDS
            )
            if isinstance(answer, Refused):
                return
        if announcement.divergent_entries:
            self.record_divergence(announcement, report)
        await server.announce_primary(
            announcement.term,
            announcement.offset,
            announcement.primary,
            ALIGN_TIMEOUT_SECONDS,
        )

    def record_divergence(
        self, announcement: Announcement, report: ServerReport
    ) -> None:
        """Record the entries that a returning server is about to discard."""
        entries = announcement.divergent_entries
        if self.divergent.get(report.server) == entries:
            return
        self.divergent[report.server] = entries
        self.context.record_event(
            EventKind.DIVERGENT_TAIL,
            server=report.server,
            entries=entries,
            position=report.position,
        )
