"""A backend server that may be selected for a read."""

import attrs

from jackdawcrank_policy.values import Branch, Position, ServerState


@attrs.frozen
class Candidate:
    """What is known of a server when a read is routed.

    Attributes:
      server: The server's name.
      primary: Whether it is the primary of the open term.
      state: Whether it is joining, serving or leaving.
      position: The proven position on the branch, if any.
      complete_as_of: The instant up to which it holds every write, in seconds
        of the monotonic clock, if known.
      replication_lag: Seconds by which it trailed the known position of the
        primary, if known.
      catch_up_seconds: Estimated seconds until it reaches the position that
        the read requires, if known.
      expected_response_time: Estimated seconds until an answer, including
        network and queue.
      failing: Whether its recent error rate excludes it.
    """

    server: str
    primary: bool = False
    state: ServerState = ServerState.SERVING
    position: Position | None = None
    complete_as_of: float | None = None
    replication_lag: float | None = None
    catch_up_seconds: float | None = None
    expected_response_time: float = 0.0
    failing: bool = False

    def usable(self) -> bool:
        """Return whether the server may receive new statements."""
        return self.state is ServerState.SERVING and not self.failing

    def reached(self, position: Position | None, branch: Branch) -> bool:
        """Return whether the server is proven to hold an entry.

        Args:
          position: The entry's position; None imposes no requirement.
          branch: The group's branch.
        """
        if position is None:
            return True
        if self.position is None or not branch.contains(self.position):
            return False
        return branch.contains(position) and (
            self.position.offset >= position.offset
        )

    def fresh_enough(self, max_age_ms: int | None, now: float) -> bool:
        """Return whether an answer is expected to be within a maximum age.

        The data's age is counted up to the expected time of the answer.

        Args:
          max_age_ms: The maximum age in milliseconds; None imposes no limit.
          now: The current time in seconds of the monotonic clock.
        """
        if max_age_ms is None:
            return True
        if self.complete_as_of is None:
            return False
        age = now + self.expected_response_time - self.complete_as_of
        return age <= max_age_ms / 1000

    def may_prove_fresh(self, max_age_ms: int | None) -> bool:
        """Return whether new probes could prove data within a maximum age.

        Args:
          max_age_ms: The maximum age in milliseconds, if any.
        """
        if max_age_ms is None:
            return False
        replication_lag = self.replication_lag or 0.0
        return (
            replication_lag + self.expected_response_time <= max_age_ms / 1000
        )
