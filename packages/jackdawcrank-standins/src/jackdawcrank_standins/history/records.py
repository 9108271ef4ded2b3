"""The records that make up a history."""

import enum

import attrs

from jackdawcrank_policy.values import Position


class CallerOutcome(enum.StrEnum):
    """What a caller was told of its write."""

    DONE = "done"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


@attrs.frozen
class CallerRecord:
    """One answer to a caller's write.

    Attributes:
      write_id: What tells the write from every other, in the servers' logs
        too.
      outcome: What the caller was told.
      answered_at: When, in seconds of the run.
      term: The term under which the write was acknowledged; 0 for none.
      must_survive: Whether the group requires confirmations.
      last: Whether nothing of the write was sent after this answer.
    """

    write_id: str
    outcome: CallerOutcome
    answered_at: float
    term: int = 0
    must_survive: bool = False
    last: bool = True


@attrs.frozen
class TermRecord:
    """The opening of a term.

    Attributes:
      term: The term.
      opened_at: When it was opened in the store, in seconds of the run.
      primary: Its primary.
    """

    term: int
    opened_at: float
    primary: str


@attrs.frozen
class LogEntry:
    """An entry of a backend server's log.

    Attributes:
      position: Its position.
      write_id: The write that it holds.
    """

    position: Position
    write_id: str
