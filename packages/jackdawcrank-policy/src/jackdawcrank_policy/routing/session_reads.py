"""Monotonic reads for the sessions of one proxy."""

import attrs

from jackdawcrank_policy.freshness import Evidence
from jackdawcrank_policy.routing.read_hold import ReadHold
from jackdawcrank_policy.values import Position


@attrs.define
class LastRead:
    """A read whose position is bounded later.

    Attributes:
      server: The server that answered.
      ended_at: When the answer came.
      term: The term under which the server was chosen.
      bound: A position at or above what it saw; None while not known.
    """

    server: str
    ended_at: float
    term: int
    bound: Position | None = None


@attrs.define
class SessionReads:
    """The last read of one session on each group.

    Answers of reads carry no position. What a read on server X that ended at
    t has seen is covered by the position that a probe of X sent after t
    shows. Until there is one, the session stays with X or the primary. A
    probe of a later term covers nothing, since X may have removed entries.

    Attributes:
      last: The last read on each group.
    """

    last: dict[str, LastRead] = attrs.Factory(dict)

    def record(
        self, group: str, server: str, ended_at: float, term: int
    ) -> None:
        """Record an answered read.

        Args:
          group: The group's name.
          server: The server that answered.
          ended_at: When the answer came.
          term: The term under which the server was chosen.
        """
        self.last[group] = LastRead(server, ended_at, term)

    def hold(self, group: str, evidence: Evidence) -> ReadHold | None:
        """Return what the session's last read on a group asks of its next.

        Args:
          group: The group's name.
          evidence: The group's evidence.
        """
        read = self.last.get(group)
        if read is None:
            return None
        if read.bound is None and read.term == evidence.branch.term:
            read.bound = evidence.bound_after(read.server, read.ended_at)
        lost = read.bound is None and read.term < evidence.branch.term
        return ReadHold(read.server, read.bound, lost)

    def forget(self, group: str) -> None:
        """Drop a group, after its bound went into the token or was lost."""
        self.last.pop(group, None)
