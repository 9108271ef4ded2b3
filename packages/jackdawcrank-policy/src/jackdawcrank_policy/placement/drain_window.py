"""How long a leaving server may get new work."""

import math

import attrs

# Share of a server's drain time in which it gets new work. The rest is for
# hearing late that it leaves, and for statements that wait at this proxy.
WORK_SHARE = 0.75


@attrs.define
class DrainWindow:
    """Tracks since when one server leaves.

    Attributes:
      leaving_since: When the server was first known to leave, in seconds on a
        monotonic clock; infinite while it stays.
    """

    leaving_since: float = math.inf

    def reported(self, leaving: bool, seen_before: bool, now: float) -> None:
        """Record a report of the server.

        Args:
          leaving: Whether it leaves.
          seen_before: Whether an earlier report is known. A server that leaves
            in the first one may have done so for any time.
          now: The current time in seconds.
        """
        if not leaving:
            self.leaving_since = math.inf
        elif self.leaving_since == math.inf:
            self.leaving_since = now if seen_before else -math.inf

    def accepts_work(self, now: float, drain_seconds: float) -> bool:
        """Return whether the server may get new work.

        Args:
          now: The current time in seconds.
          drain_seconds: How long a leaving server may receive statements.
        """
        return now - self.leaving_since < drain_seconds * WORK_SHARE
