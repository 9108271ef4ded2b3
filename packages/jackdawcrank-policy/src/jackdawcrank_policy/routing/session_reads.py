"""Monotonic reads for the sessions of a proxy."""

import attrs

from jackdawcrank_policy.freshness import Evidence
from jackdawcrank_policy.routing.answered_read import AnsweredRead
from jackdawcrank_policy.routing.read_constraint import ReadConstraint


@attrs.define
class SessionReads:
    """The last read of one session on each group.

    The last read is enough, because its position was at or above the
    positions of all earlier reads.

    Attributes:
      by_group: The last read on each group, by the group's name.
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
          ended_at: When the answer arrived, in seconds of the observer's
            monotonic clock.
          term: The term under which the server was selected.
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
        """Return the constraint on the session's next read on a group.

        Args:
          group: The group's name.
          evidence: The group's evidence, collected by the observer.
          observer: The proxy process that routes the read.
          now: Its current time in seconds of its monotonic clock.

        Returns:
          None if the session has not read from the group.
        """
        read = self.by_group.get(group)
        if read is None:
            return None
        judged = read.on_clock(observer, now).resolved(evidence)
        if judged.bound is not None:
            self.by_group[group] = judged
        return judged.constraint(evidence.branch.term)

    def forget(self, group: str) -> None:
        """Remove a group whose bound was lost or moved into the token."""
        self.by_group.pop(group, None)
