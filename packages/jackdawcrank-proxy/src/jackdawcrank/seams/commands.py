"""What the proxy sends to a backend server."""

import attrs

from jackdawcrank_policy.sessions import SetupStep
from jackdawcrank_policy.values.position import Position


@attrs.frozen
class ForwardStatement:
    """A caller's statement, under the caller's request id.

    Attributes:
      request_id: The caller's id of the statement.
      text: The statement.
      needed: The position that the server must have, or None.
    """

    request_id: str
    text: str
    needed: Position | None = None


@attrs.frozen
class ForwardPrepared:
    """A caller's execution of a prepared statement.

    Attributes:
      request_id: The caller's id of the statement.
      name: The name on this connection.
      arguments: The caller's arguments.
      needed: The position that the server must have, or None.
    """

    request_id: str
    name: str
    arguments: str
    needed: Position | None = None


@attrs.frozen
class ForwardCommit:
    """A caller's commit.

    Attributes:
      request_id: The caller's id of the statement.
    """

    request_id: str


@attrs.frozen
class BeginTransaction:
    """Opens a transaction.

    Attributes:
      read_only: Whether a replica may run it.
      needed: The position that the server must have, or None.
    """

    read_only: bool
    needed: Position | None = None


@attrs.frozen
class RollbackTransaction:
    """Rolls the open transaction back."""


@attrs.frozen
class QueryStatus:
    """Asks for role, term and position."""


@attrs.frozen
class SuspendReplication:
    """Stops a replica from receiving.

    Attributes:
      term: A term above the newest one.
    """

    term: int


@attrs.frozen
class ResumeReplication:
    """Lets a frozen replica receive again."""


@attrs.frozen
class Demote:
    """Makes the primary of a lower term a replica.

    Attributes:
      term: A term above the newest one.
    """

    term: int


Command = (
    ForwardStatement
    | ForwardPrepared
    | ForwardCommit
    | BeginTransaction
    | RollbackTransaction
    | QueryStatus
    | SuspendReplication
    | ResumeReplication
    | Demote
    | SetupStep
)
