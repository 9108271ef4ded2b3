"""The reply to one statement on a backend connection."""

import dataclasses

from jackdawcrank_policy.values import Position


@dataclasses.dataclass(frozen=True)
class StatementDone:
    """The server ran the statement.

    Attributes:
      affected_rows: The number of rows that the statement changed.
      last_insert_id: The last generated key, or 0.
      rows: The rows that the statement returned.
      position: The log position of a commit that wrote data.
    """

    affected_rows: int = 0
    last_insert_id: int = 0
    rows: tuple[tuple[object, ...], ...] = ()
    position: Position | None = None


@dataclasses.dataclass(frozen=True)
class ServerError:
    """The server answered with an error.

    Attributes:
      code: The MySQL error code.
      sqlstate: The five-character SQLSTATE.
      message: The server's message.
    """

    code: int
    sqlstate: str = "HY000"
    message: str = ""


@dataclasses.dataclass(frozen=True)
class ConnectionLost:
    """No valid reply due to a timeout, a reset or a malformed packet.

    Attributes:
      detail: A human-readable explanation.
    """

    detail: str = ""


StatementReply = StatementDone | ServerError | ConnectionLost
