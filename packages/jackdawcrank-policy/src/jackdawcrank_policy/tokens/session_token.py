"""What a session has seen of each database group."""

import attrs
import xxhash

from jackdawcrank_policy.values import Branch, Position

MAX_GROUPS = 16


def group_key(group: str) -> int:
    """Return the 64-bit key that stands for a group in a token."""
    return xxhash.xxh64_intdigest(group.encode())


@attrs.frozen
class SessionToken:
    """The newest position that a session has written or read, per group.

    A group's entry leaves the token in two cases only, because a group
    without an entry gets reads without a bound. Either every server that may
    serve or lead the group has reached the entry (`pruned`), or the caller
    was told that it was lost and begins anew (`without`). The oldest entry is
    never dropped for want of room: a statement on one more group than
    `MAX_GROUPS` has to be refused before it runs (`has_room`).

    Attributes:
      entries: Group keys and positions, the least recently used first.
    """

    entries: tuple[tuple[int, Position], ...] = ()

    def position(self, group: str) -> Position | None:
        """Return the position seen of a group; None if there is none."""
        return dict(self.entries).get(group_key(group))

    def has_room(self, group: str) -> bool:
        """Return whether the token can take an entry of a group."""
        return (
            len(self.entries) < MAX_GROUPS or self.position(group) is not None
        )

    def is_comparable(self, group: str, branch: Branch) -> bool:
        """Return whether a branch is new enough to judge a group's entry."""
        position = self.position(group)
        return position is None or position.term <= branch.term

    def advanced(
        self, group: str, position: Position, branch: Branch
    ) -> "SessionToken":
        """Return the token after the session saw a position of a group.

        A position that the branch has lost stays in the token, so that the
        next read is told of the loss instead of getting an older answer.

        Args:
          group: The group's name.
          position: The position of a write or an upper bound of a read.
          branch: The group's branch, at least as new as the terms of the
            position and of the token's entry.

        Raises:
          ValueError: The branch is older than that, or the token has no room
            for another group.
        """
        if position.term > branch.term or not self.is_comparable(group, branch):
            raise ValueError(f"the branch ends at term {branch.term}")
        if not self.has_room(group):
            raise ValueError("the token has no room for another group")
        newest = required_position(self.position(group), position, branch)
        remaining = self.without(group).entries
        return SessionToken((*remaining, (group_key(group), newest)))

    def pruned(
        self, group: str, floor: Position, branch: Branch
    ) -> "SessionToken":
        """Return the token without a group that needs no bound any more.

        Args:
          group: The group's name.
          floor: A position that every server which may serve or lead the
            group has reached on the branch.
          branch: The group's branch.
        """
        position = self.position(group)
        if position is None or not branch.contains(position):
            return self
        if position.offset > floor.offset:
            return self
        return self.without(group)

    def without(self, group: str) -> "SessionToken":
        """Return the token without a group."""
        key = group_key(group)
        return SessionToken(tuple(e for e in self.entries if e[0] != key))


def required_position(
    earlier: Position | None, later: Position, branch: Branch
) -> Position:
    """Return the position that a session must be held to from now on.

    Args:
      earlier: The position that the session was held to.
      later: A position that it has seen since.
      branch: The group's branch, at least as new as both terms.
    """
    if earlier is None or not branch.contains(later):
        return later
    if not branch.contains(earlier):
        return earlier
    return max(earlier, later, key=lambda p: (p.offset, p.term))
