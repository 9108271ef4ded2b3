"""The outcome of a statement."""

import dataclasses
import enum

from jackdawcrank_policy.values.position import Position


class NotRunReason(enum.StrEnum):
    """The reason why a statement was refused before it ran."""

    BAD_OPTION = "bad_option"
    UNKNOWN_GROUP = "unknown_group"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    NO_PRIMARY = "no_primary"
    NO_SERVER = "no_server"
    STALE_TOKEN = "stale_token"
    WRITE_LOST = "write_lost"
    TOO_LARGE = "too_large"
    SHUTTING_DOWN = "shutting_down"
    PEER_UNREACHABLE = "peer_unreachable"
    NOT_SUPPORTED = "not_supported"
    LIMITED = "limited"


@dataclasses.dataclass(frozen=True)
class Done:
    """The statement ran and took effect.

    Attributes:
      position: The log position of the statement's write, if any.
    """

    position: Position | None = None


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The statement did not run and never will.

    Attributes:
      reason: Why the statement was refused.
      detail: A human-readable explanation.
      retry_after_ms: The delay before a retry, in milliseconds; None if a
        retry cannot help.
    """

    reason: NotRunReason
    detail: str = ""
    retry_after_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class Failed:
    """The statement ran, failed and was rolled back.

    Attributes:
      code: The MySQL error code that the backend server gave.
      sqlstate: The five-character SQLSTATE.
      message: The backend server's message.
    """

    code: int
    sqlstate: str
    message: str


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The statement may or may not have run.

    Attributes:
      detail: A human-readable explanation.
    """

    detail: str = ""


Outcome = Done | NotRun | Failed | Unknown
