"""Where and when a session's last read ended."""

import attrs

from jackdawcrank_policy.freshness import Evidence
from jackdawcrank_policy.routing.read_constraint import ReadConstraint
from jackdawcrank_policy.values import Position


@attrs.frozen
class AnsweredRead:
    """A read whose position is bounded later.

    Answers of reads carry no position. What a read on server X that ended at
    t has seen is covered by the position that a probe of X sent after t
    shows. Until there is one, the session stays with X or the primary. A
    probe of a later term covers nothing, since X may have removed entries.

    Attributes:
      server: The server that answered.
      ended_at: When the answer came, on the observer's monotonic clock.
      term: The term under which the server was chosen.
      observer: The proxy process whose clock it was.
      bound: A position at or above what the read saw, once known.
    """

    server: str
    ended_at: float
    term: int
    observer: str = ""
    bound: Position | None = None

    def on_clock(self, observer: str, now: float) -> "AnsweredRead":
        """Return the mark on the clock of a proxy that was shown it.

        On another proxy's clock the read ended before it was shown.

        Args:
          observer: The proxy process that judges the mark.
          now: Its current time.
        """
        if self.observer == observer:
            return self
        return attrs.evolve(self, observer=observer, ended_at=now)

    def resolved(self, evidence: Evidence) -> "AnsweredRead":
        """Return the mark with its bound, if the evidence has one.

        Args:
          evidence: The group's evidence of the mark's observer.
        """
        if self.bound is not None or self.term != evidence.branch.term:
            return self
        bound = evidence.bound_after(self.server, self.ended_at)
        return attrs.evolve(self, bound=bound)

    def constraint(self, term: int) -> ReadConstraint:
        """Return what the read asks of the next one.

        Args:
          term: The newest term that is known.
        """
        lost = self.bound is None and self.term < term
        return ReadConstraint(self.server, self.bound, lost)
