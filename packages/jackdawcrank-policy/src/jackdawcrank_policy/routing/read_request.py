"""A read that needs a server."""

import attrs

from jackdawcrank_policy.routing.read_constraint import ReadConstraint
from jackdawcrank_policy.values import Branch, Position

DEFAULT_REPLICA_WAIT_SECONDS = 0.15


@attrs.frozen
class ReadRequest:
    """What a read asks for.

    Attributes:
      group: The database group.
      deadline: When the caller gives up, on the monotonic clock.
      token_position: The position that the session has seen, if any.
      max_age_ms: The stated age in milliseconds, the group's default applied
        already; None if neither states one.
      constraint: What the session's last read asks, if there was one.
      may_wait: Whether the read may wait for a replica; False once it has.
      replica_wait_seconds: The seconds that the read may take longer than on the
        primary in order to spare it.
    """

    group: str
    deadline: float
    token_position: Position | None = None
    max_age_ms: int | None = None
    constraint: ReadConstraint | None = None
    may_wait: bool = True
    replica_wait_seconds: float = DEFAULT_REPLICA_WAIT_SECONDS

    def bounds(self) -> list[Position]:
        """Return the positions that an answer has to cover."""
        hold_bound = self.constraint.bound if self.constraint else None
        both = (self.token_position, hold_bound)
        return [position for position in both if position is not None]

    def target(self) -> Position | None:
        """Return the position that covers all bounds on one branch."""
        return max(self.bounds(), key=lambda p: p.offset, default=None)

    def bound_off_branch(self, branch: Branch) -> Position | None:
        """Return a bound that is not on the branch, if there is one.

        Args:
          branch: The group's branch.
        """
        off_branch = (p for p in self.bounds() if not branch.keeps(p))
        return next(off_branch, None)

    def pinned_elsewhere(self, server: str) -> bool:
        """Return whether the last read rules a replica out for now.

        Args:
          server: The replica's name.
        """
        constraint = self.constraint
        if constraint is None or constraint.bound is not None:
            return False
        return constraint.server != server
