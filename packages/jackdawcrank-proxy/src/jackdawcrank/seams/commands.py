"""Commands that the proxy sends to a backend server."""

import attrs

from jackdawcrank_policy.sessions import SetupStep
from jackdawcrank_policy.values.position import Position


@attrs.frozen
class ForwardStatement:
    """Runs a caller's statement under the caller's request id.

    Attributes:
      request_id: The caller's id of the statement.
      text: The text of the statement.
      needed: The log position that the server must have reached, or None.
    """

    request_id: str
    text: str
    needed: Position | None = None


@attrs.frozen
class ForwardPrepared:
    """Executes a prepared statement for a caller.

    Attributes:
      request_id: The caller's id of the statement.
      name: The name of the prepared statement on this connection.
      arguments: The caller's arguments.
      needed: The log position that the server must have reached, or None.
    """

    request_id: str
    name: str
    arguments: str
    needed: Position | None = None


@attrs.frozen
class ForwardCommit:
    """Commits the open transaction for a caller.

    Attributes:
      request_id: The caller's id of the statement.
    """

    request_id: str


@attrs.frozen
class BeginTransaction:
    """Begins a transaction.

    Attributes:
      read_only: Whether the transaction only reads, so that a replica may run
        it.
      needed: The log position that the server must have reached, or None.
    """

    read_only: bool
    needed: Position | None = None


@attrs.frozen
class RollbackTransaction:
    """Rolls back the open transaction."""


@attrs.frozen
class QueryStatus:
    """Queries the server's role, term and log position."""


@attrs.frozen
class SuspendReplication:
    """Stops a replica from receiving log entries.

    Attributes:
      term: A term above the newest known one.
    """

    term: int


@attrs.frozen
class ResumeReplication:
    """Lets a suspended replica receive log entries again."""


@attrs.frozen
class Demote:
    """Demotes the primary of a lower term to a replica.

    Attributes:
      term: A term above the newest known one.
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
