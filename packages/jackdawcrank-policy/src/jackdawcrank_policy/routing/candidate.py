"""One backend server as a choice for a read."""

import attrs

from jackdawcrank_policy.values import Branch, Position, ServerState


@attrs.frozen
class Candidate:
    """What is known of a server at the moment of a choice.

    Attributes:
      server: The server's name.
      primary: Whether it is the primary of the open term.
      state: Whether it is joining, serving or leaving.
      position: The proved position on the branch, if any.
      complete_as_of: The instant up to which it holds every write, if known.
      replication_lag: Seconds that it was behind what is known of the primary.
      catch_up_seconds: Seconds until it should reach the token, if known.
      expected_response_time: Seconds that an answer should take, with network and queue.
      failing: Whether its recent errors rule it out.
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
        """Return whether the server may get new work at all."""
        return self.state is ServerState.SERVING and not self.failing

    def reached(self, position: Position | None, branch: Branch) -> bool:
        """Return whether the server is proved to hold an entry.

        Args:
          position: The entry's position; None asks for nothing.
          branch: The group's branch.
        """
        if position is None:
            return True
        if self.position is None or not branch.keeps(self.position):
            return False
        return branch.keeps(position) and (
            self.position.offset >= position.offset
        )

    def fresh_enough(self, max_age_ms: int | None, now: float) -> bool:
        """Return whether an answer should still be within a stated age.

        Args:
          max_age_ms: The stated age in milliseconds; None asks for nothing.
          now: The current time.
        """
        if max_age_ms is None:
            return True
        if self.complete_as_of is None:
            return False
        age = now + self.expected_response_time - self.complete_as_of
        return age <= max_age_ms / 1000

    def may_prove_fresh(self, max_age_ms: int | None) -> bool:
        """Return whether new probes might prove it to be within an age.

        Args:
          max_age_ms: The stated age in milliseconds, if any.
        """
        if max_age_ms is None:
            return False
        replication_lag = self.replication_lag or 0.0
        return (
            replication_lag + self.expected_response_time <= max_age_ms / 1000
        )
