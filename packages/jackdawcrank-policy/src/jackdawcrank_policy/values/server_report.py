"""What a backend server says of itself."""

import enum

import attrs

from jackdawcrank_policy.values.position import Position


class ServerRole(enum.StrEnum):
    """The role that a backend server believes it has."""

    PRIMARY = "primary"
    REPLICA = "replica"


@attrs.frozen
class ServerReport:
    """The answer to one probe of a backend server.

    Attributes:
      server: The server's name.
      term: The highest term that the server was fenced with.
      role: The role that it believes it has in that term.
      position: The last log entry that it has applied.
      caught_up: Whether a replica had applied everything that the primary had
        when the probe was answered.
    """

    server: str
    term: int
    role: ServerRole
    position: Position
    caught_up: bool = False
