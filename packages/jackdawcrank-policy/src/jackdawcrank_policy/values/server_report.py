"""The status that a backend server reports."""

import enum

import attrs

from jackdawcrank_policy.values.position import Position


class ServerRole(enum.StrEnum):
    """The role that a backend server reports for itself."""

    PRIMARY = "primary"
    REPLICA = "replica"


@attrs.frozen
class ServerReport:
    """The answer to one probe of a backend server.

    Attributes:
      server: The server's name.
      term: The highest term that the server was fenced with.
      role: The role that the server reports for itself in that term.
      position: The position of the last log entry that the server applied.
      caught_up: Whether a replica had applied everything that the primary had
        when the probe was answered.
    """

    server: str
    term: int
    role: ServerRole
    position: Position
    caught_up: bool = False
