"""What a run of the soak records."""

import enum
import re

import attrs

NUMBER = re.compile(r"\d+")


class Answer(enum.StrEnum):
    """What a caller learned of one statement."""

    DONE = "done"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


@attrs.define
class WriteRecord:
    """One write, with all its attempts.

    Attributes:
      write_id: The value that tells its row from all others.
      group: The database group.
      repeatable: Whether the caller may send it again.
      started_at: When its last attempt was sent, on the loop's clock.
      ended_at: When the last answer came.
      answers: The answers to its attempts.
    """

    write_id: str
    group: str
    repeatable: bool
    started_at: float = 0.0
    ended_at: float = 0.0
    answers: list[Answer] = attrs.field(factory=list)

    @property
    def answer(self) -> Answer:
        """Return what is known of the write after all attempts."""
        if Answer.DONE in self.answers:
            return Answer.DONE
        if Answer.UNKNOWN in self.answers or not self.answers:
            return Answer.UNKNOWN
        return self.answers[-1]


@attrs.frozen
class StaleRead:
    """A read that missed a write of its own session.

    Attributes:
      write_id: The write that is missing.
      group: The database group.
      at: When the read ended, on the loop's clock.
    """

    write_id: str
    group: str
    at: float


@attrs.define
class Recorder:
    """Gathers what all callers see.

    Attributes:
      writes: Every write.
      stale: The reads that missed a write of their own session.
      reads: How many reads got rows.
      refused_reads: How many reads got an error.
      reported_losses: How many reads said that the session's write is lost.
      reasons: How often each error message began with which words.
    """

    writes: list[WriteRecord] = attrs.field(factory=list)
    stale: list[StaleRead] = attrs.field(factory=list)
    reads: int = 0
    refused_reads: int = 0
    reported_losses: int = 0
    reasons: dict[str, int] = attrs.field(factory=dict)

    def note_reason(self, message: str) -> None:
        """Count an error message by its first three parts, without numbers."""
        key = NUMBER.sub("N", ":".join(message.split(":")[:3]))[:100]
        self.reasons[key] = self.reasons.get(key, 0) + 1
