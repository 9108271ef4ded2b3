"""The log positions that a session has observed, per database group."""

import attrs
import xxhash

from jackdawcrank_policy.values import Branch, Position

MAX_GROUPS = 16


def group_key(group: str) -> int:
    """Return the 64-bit hash that identifies a group in a token."""
    return xxhash.xxh64_intdigest(group.encode())


@attrs.frozen
class SessionToken:
    """The newest position that a session has written or read, per group.

    Reads of a group without an entry have no minimum position. An entry is
    therefore removed in two cases only: every server that can serve or lead
    the group has reached its position (`pruned`), or the caller was informed
    that the position was lost and starts over (`without`). Entries are never
    evicted to make space. A statement on one more group than `MAX_GROUPS`
    must be refused before it runs (`has_room`).

    Attributes:
      entries: Pairs of group key and position, least recently used first.
    """

    entries: tuple[tuple[int, Position], ...] = ()

    def position(self, group: str) -> Position | None:
        """Return the recorded position of a group; None if there is none."""
        return dict(self.entries).get(group_key(group))

    def has_room(self, group: str) -> bool:
        """Return whether the token can hold an entry for a group."""
        return (
            len(self.entries) < MAX_GROUPS or self.position(group) is not None
        )

    def is_comparable(self, group: str, branch: Branch) -> bool:
        """Return whether a branch reaches the term of a group's entry."""
        position = self.position(group)
        return position is None or position.term <= branch.term

    def advanced(
        self, group: str, position: Position, branch: Branch
    ) -> "SessionToken":
        """Return the token updated with a position that the session observed.

        A position that is no longer on the branch stays in the token, so that
        the next read reports the loss instead of returning older data.

        Args:
          group: The group's name.
          position: The position of a write, or an upper bound for a read.
          branch: The group's branch. It must reach the terms of the position
            and of the token's entry.

        Raises:
          ValueError: The branch ends before one of these terms, or the token
            has no room for another group.
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
        """Return the token without an entry that all servers have reached.

        Args:
          group: The group's name.
          floor: A position that every server that can serve or lead the
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
        """Return the token without the entry of a group."""
        key = group_key(group)
        return SessionToken(tuple(e for e in self.entries if e[0] != key))


def required_position(
    earlier: Position | None, later: Position, branch: Branch
) -> Position:
    """Return the minimum position for further reads of a session.

    Args:
      earlier: The previous minimum position; None if there was none.
      later: A position that the session has observed since.
      branch: The group's branch. It must reach the terms of both positions.
    """
    if earlier is None or not branch.contains(later):
        return later
    if not branch.contains(earlier):
        return earlier
    return max(earlier, later, key=lambda p: (p.offset, p.term))
