"""Answers of servers and of the proxy to its callers."""

import enum

import attrs

from jackdawcrank_policy.values.position import Position


class SessionState(enum.Enum):
    """Where a session or connection stands."""

    IDLE = "idle"
    IN_TRANSACTION = "in_transaction"
    FAILED = "failed"
    """Its transaction failed; only ending it is possible."""


class Problem(enum.Enum):
    """Why a statement has no result."""

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
"""A server that answers one of these did not run the statement."""


@attrs.frozen
class Reply:
    """The whole answer to one statement.

    Attributes:
      rows: The result's rows, as the server wrote them.
      signature: The server's proof of the run; empty where there is none.
      problem: Why there is no result; None on success.
      detail: A sentence about the problem.
      state: Where the session stands now.
      position: The server's log position, if it told one.
    """

    rows: tuple[str, ...] = ()
    signature: str = ""
    problem: Problem | None = None
    detail: str = ""
    state: SessionState = SessionState.IDLE
    position: Position | None = None


@attrs.frozen
class ServerStatus:
    """What a server says of itself when asked.

    Attributes:
      leads: Whether it takes itself for the primary.
      term: The newest term that it knows.
      received: The last log entry that it has received.
      lag_seconds: How far the data that it shows is behind that.
    """

    leads: bool
    term: int
    received: Position
    lag_seconds: float = 0.0
