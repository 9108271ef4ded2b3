"""When a primary is taken to be lost."""

import enum

import attrs

# A primary that restarts at once refuses connections for a few hundred ms.
MIN_REFUSED_SECONDS = 0.3
# Twice the time that a question without a slot may take (0.4 s). A full or slow
# server answers that one, so the longest work does not count.
MIN_SILENT_SECONDS = 0.8
# Writes that wait for a replica's receipt; longer than the widest round trip
# and the longest work, for two different writes.
MIN_UNCONFIRMED_SECONDS = 1.0
# A single failure may be a lost answer.
MIN_FAILURES = 2


class FailureKind(enum.Enum):
    """What is wrong with a primary."""

    NONE = "none"
    REFUSING = "refusing"
    """Its host answers that nobody listens."""
    SILENT = "silent"
    """Nothing answers."""
    UNCONFIRMED = "unconfirmed"
    """It answers, but its writes are not acknowledged."""


@attrs.define
class PrimarySuspicion:
    """Evidence against one primary, since its last answer.

    Attributes:
      refused: Connections that were refused or cut.
      refused_at: When the first of them was.
      silent: Questions that got no answer.
      silent_at: When the first of them was given up.
      unconfirmed: Writes that got no answer while others did.
      unconfirmed_at: When the first of them was sent.
    """

    refused: int = 0
    refused_at: float = 0.0
    silent: int = 0
    silent_at: float = 0.0
    unconfirmed: int = 0
    unconfirmed_at: float = 0.0

    def answered(self) -> None:
        """Take in an answer to any question."""
        self.refused = 0
        self.silent = 0

    def commit_acknowledged(self) -> None:
        """Take in an acknowledged commit."""
        self.answered()
        self.unconfirmed = 0

    def connection_refused(self, now: float) -> None:
        """Take in a refused or cut connection.

        Args:
          now: The current time in seconds.
        """
        if not self.refused:
            self.refused_at = now
        self.refused += 1

    def request_timed_out(self, sent_at: float) -> None:
        """Take in a question without an answer.

        Args:
          sent_at: When the question was sent, in seconds.
        """
        if not self.silent:
            self.silent_at = sent_at
        self.silent += 1

    def write_unconfirmed(self, sent_at: float) -> None:
        """Take in a write that was not acknowledged.

        Args:
          sent_at: When the write was sent, in seconds.
        """
        if not self.unconfirmed:
            self.unconfirmed_at = sent_at
        self.unconfirmed += 1

    def has_evidence(self) -> bool:
        """Return whether there is any evidence."""
        return bool(self.refused or self.silent or self.unconfirmed)

    def suspected_failure(self, now: float) -> FailureKind:
        """Return what is wrong, once it is sure enough to act on.

        Args:
          now: The current time in seconds.
        """
        if (
            self.refused >= MIN_FAILURES
            and now - self.refused_at >= MIN_REFUSED_SECONDS
        ):
            return FailureKind.REFUSING
        if (
            self.silent >= MIN_FAILURES
            and now - self.silent_at >= MIN_SILENT_SECONDS
        ):
            return FailureKind.SILENT
        if (
            self.unconfirmed >= MIN_FAILURES
            and now - self.unconfirmed_at >= MIN_UNCONFIRMED_SECONDS
        ):
            return FailureKind.UNCONFIRMED
        return FailureKind.NONE
