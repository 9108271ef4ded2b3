"""The constraint that a session's last read puts on its next read."""

import attrs

from jackdawcrank_policy.values import Position


@attrs.frozen
class ReadConstraint:
    """The server of a group's last read and a bound of what it returned.

    Attributes:
      server: The server that answered the read.
      bound: A position at or above every entry that the read returned; None
        while it is unknown.
      lost: Whether the term changed before a bound was known.
    """

    server: str
    bound: Position | None = None
    lost: bool = False
