"""What a session's last read on a group asks of its next."""

import attrs

from jackdawcrank_policy.values import Position


@attrs.frozen
class ReadConstraint:
    """The server of the last read and what that read may have seen.

    Attributes:
      server: The server that answered it.
      bound: A position at or above what it saw; None while not known.
      lost: Whether the term changed before a bound was known.
    """

    server: str
    bound: Position | None = None
    lost: bool = False
