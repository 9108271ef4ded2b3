"""The records in a history."""

import enum

import attrs

from jackdawcrank_policy.values import Position


class CallerOutcome(enum.StrEnum):
    """The outcome of a write that was reported to its caller."""

    DONE = "done"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


@attrs.frozen
class CallerRecord:
    """One answer to a caller's write.

    Attributes:
      write_id: The unique id of the write, also used in the logs of the
        servers.
      outcome: The outcome that was reported to the caller.
      answered_at: The time of the answer, in seconds on the clock of the
        run.
      term: The term under which the write was acknowledged; 0 for none.
      must_survive: Whether the group requires confirmations, so that an
        acknowledged write must be on the final branch.
      last: Whether the write was not sent again after this answer.
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
      opened_at: The time at which the store recorded the term, in seconds on
        the clock of the run.
      primary: The name of the primary of the term.
    """

    term: int
    opened_at: float
    primary: str


@attrs.frozen
class LogEntry:
    """An entry of a backend server's log.

    Attributes:
      position: The position of the entry.
      write_id: The id of the write in the entry.
    """

    position: Position
    write_id: str
