"""Monotonic reads for the sessions of one proxy."""

import attrs

from jackdawcrank_policy.freshness import Evidence
from jackdawcrank_policy.routing.answered_read import AnsweredRead
from jackdawcrank_policy.routing.read_constraint import ReadConstraint


@attrs.define
class SessionReads:
    """The last read of one session on each group.

    Only the last read counts: it was at or above the ones before it.

    Attributes:
      by_group: The mark of the last read on each group.
    """

    by_group: dict[str, AnsweredRead] = attrs.Factory(dict)

    def record(
        self,
        group: str,
        server: str,
        ended_at: float,
        term: int,
        observer: str = "",
    ) -> None:
        """Record an answered read.

        Args:
          group: The group's name.
          server: The server that answered.
          ended_at: When the answer came, on the observer's clock.
          term: The term under which the server was chosen.
          observer: The proxy process that ran the read.
        """
        self.by_group[group] = AnsweredRead(server, ended_at, term, observer)

    def constraint(
        self,
        group: str,
        evidence: Evidence,
        observer: str = "",
        now: float = 0.0,
    ) -> ReadConstraint | None:
        """Return what the session's last read on a group asks of its next.

        Args:
          group: The group's name.
          evidence: The group's evidence on the observer.
          observer: The proxy process that chooses the server.
          now: Its current time.
        """
        read = self.by_group.get(group)
        if read is None:
            return None
        judged = read.on_clock(observer, now).resolved(evidence)
        if judged.bound is not None:
            self.by_group[group] = judged
        return judged.constraint(evidence.branch.term)

    def forget(self, group: str) -> None:
        """Drop a group, after its bound went into the token or was lost."""
        self.by_group.pop(group, None)
