"""Replies of servers to the proxy and of the proxy to callers."""

import enum

import attrs

from jackdawcrank_policy.values.position import Position


class SessionState(enum.Enum):
    """Transaction state of a session or connection."""

    IDLE = "idle"
    IN_TRANSACTION = "in_transaction"
    FAILED = "failed"
    """The transaction failed and can only be ended."""


class Problem(enum.Enum):
    """Reason why a statement has no result."""

    BUSY = "busy"
    ROLLED_BACK = "rolled_back"
    LACKS_POSITION = "lacks_position"
    NOT_PRIMARY = "not_primary"
    WRONG_SERVER = "wrong_server"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    UNKNOWN_NAME = "unknown_name"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    IN_DOUBT = "in_doubt"
    MALFORMED = "malformed"
    UNKNOWN_DATABASE = "unknown_database"
    UNKNOWN_KEY = "unknown_key"
    """The caller's key belongs to no client account, or was withdrawn."""


NOT_RUN = frozenset(
    {
        Problem.BUSY,
        Problem.LACKS_POSITION,
        Problem.NOT_PRIMARY,
        Problem.WRONG_SERVER,
        Problem.TOO_MANY_CONNECTIONS,
        Problem.UNKNOWN_NAME,
    }
)
"""Problems by which a server reports that it did not run the statement."""


@attrs.frozen
class Reply:
    """The complete reply to one statement.

    Attributes:
      rows: The rows of the result, as the server encoded them.
      signature: The server's proof that it ran the statement; empty if there
        is none.
      problem: Why there is no result; None on success.
      detail: A description of the problem.
      state: The transaction state of the session after the statement.
      position: The server's log position, if it reported one.
    """

    rows: tuple[str, ...] = ()
    signature: str = ""
    problem: Problem | None = None
    detail: str = ""
    state: SessionState = SessionState.IDLE
    position: Position | None = None


@attrs.frozen
class ServerStatus:
    """A server's reply to a status query.

    Attributes:
      leads: Whether the server considers itself the primary.
      term: The newest term that the server knows.
      received: The position of the last log entry that it has received.
      lag_seconds: The delay, in seconds, of the data visible to reads behind
        that entry.
      suspended_at_term: The term under which the server was told to receive
        nothing; 0 if it receives.
    """

    leads: bool
    term: int
    received: Position
    lag_seconds: float = 0.0
    suspended_at_term: int = 0
