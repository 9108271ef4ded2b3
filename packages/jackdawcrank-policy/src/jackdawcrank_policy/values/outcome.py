"""What became of a statement."""

import dataclasses
import enum

from jackdawcrank_policy.values.position import Position


class NotRunReason(enum.StrEnum):
    """Why a statement was refused before it could run."""

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
    """The statement ran and its effect stands.

    Attributes:
      position: The log position of its effect, if it wrote.
    """

    position: Position | None = None


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The statement did not run and never will.

    Attributes:
      reason: Why it was refused.
      detail: A sentence for people.
      retry_after_ms: When to try again; None where trying again is no help.
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
      detail: A sentence for people.
    """

    detail: str = ""


Outcome = Done | NotRun | Failed | Unknown
