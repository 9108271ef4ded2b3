"""The server and time of a session's last read."""

import attrs

from jackdawcrank_policy.freshness import Evidence
from jackdawcrank_policy.routing.read_constraint import ReadConstraint
from jackdawcrank_policy.values import Position


@attrs.frozen
class AnsweredRead:
    """A read whose position is bounded by a later probe.

    Answers to reads carry no position. If a read on server X ended at time t,
    the position reported by any probe of X sent after t bounds what the read
    returned. Until such a probe is answered, the session is pinned to X or
    the primary. A probe from a later term gives no bound, because X may have
    removed entries when it changed terms.

    Attributes:
      server: The server that answered.
      ended_at: When the answer arrived, in seconds of the observer's
        monotonic clock.
      term: The term under which the server was selected.
      observer: The proxy process whose clock measured `ended_at`.
      bound: A position at or above every entry that the read returned; None
        until it is known.
    """

    server: str
    ended_at: float
    term: int
    observer: str = ""
    bound: Position | None = None

    def on_clock(self, observer: str, now: float) -> "AnsweredRead":
        """Return the read with its end time on another proxy's clock.

        Clocks of different processes are not comparable. The read ended
        before its record reached this proxy, so the current time is a safe
        upper bound of its end.

        Args:
          observer: The proxy process that evaluates the read.
          now: Its current time in seconds of its monotonic clock.
        """
        if self.observer == observer:
            return self
        return attrs.evolve(self, observer=observer, ended_at=now)

    def resolved(self, evidence: Evidence) -> "AnsweredRead":
        """Return the read with its bound, if the evidence contains one.

        Args:
          evidence: The group's evidence, collected by the read's observer.
        """
        if self.bound is not None or self.term != evidence.branch.term:
            return self
        bound = evidence.bound_after(self.server, self.ended_at)
        return attrs.evolve(self, bound=bound)

    def constraint(self, term: int) -> ReadConstraint:
        """Return the constraint on the session's next read.

        Args:
          term: The newest known term.
        """
        lost = self.bound is None and self.term < term
        return ReadConstraint(self.server, self.bound, lost)
