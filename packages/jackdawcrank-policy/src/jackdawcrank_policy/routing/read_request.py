"""A read to be routed."""

import attrs

from jackdawcrank_policy.routing.read_constraint import ReadConstraint
from jackdawcrank_policy.values import Branch, Position

DEFAULT_REPLICA_WAIT_SECONDS = 0.15


@attrs.frozen
class ReadRequest:
    """The consistency requirements of a read.

    Attributes:
      group: The database group.
      deadline: The caller's deadline in seconds of the monotonic clock.
      token_position: The position in the session token, if any.
      max_age_ms: The maximum age in milliseconds, with the group's default
        already applied; None if neither the caller nor the group sets one.
      constraint: The constraint set by the session's last read, if any.
      may_wait: Whether the read may wait for a replica; False after a wait.
      replica_wait_seconds: How many seconds longer than on the primary the
        read may take in order to offload the primary.
    """

    group: str
    deadline: float
    token_position: Position | None = None
    max_age_ms: int | None = None
    constraint: ReadConstraint | None = None
    may_wait: bool = True
    replica_wait_seconds: float = DEFAULT_REPLICA_WAIT_SECONDS

    def bounds(self) -> list[Position]:
        """Return the positions that an answer must cover."""
        last_read_bound = self.constraint.bound if self.constraint else None
        both = (self.token_position, last_read_bound)
        return [position for position in both if position is not None]

    def target(self) -> Position | None:
        """Return the position that covers all bounds on one branch."""
        return max(self.bounds(), key=lambda p: p.offset, default=None)

    def bound_off_branch(self, branch: Branch) -> Position | None:
        """Return a required position that is not on the branch, if any.

        Args:
          branch: The group's branch.
        """
        off_branch = (p for p in self.bounds() if not branch.contains(p))
        return next(off_branch, None)

    def pinned_elsewhere(self, server: str) -> bool:
        """Return whether the session is pinned to a different server.

        A session is pinned to the server of its last read until the position
        of that read is bounded.

        Args:
          server: The replica's name.
        """
        constraint = self.constraint
        if constraint is None or constraint.bound is not None:
            return False
        return constraint.server != server
