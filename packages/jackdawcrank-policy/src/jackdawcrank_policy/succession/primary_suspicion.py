"""Suspicion of a failed primary, from refusals, time-outs and writes."""

import enum

import attrs

# A primary that restarts immediately refuses connections for a few hundred ms.
MIN_REFUSED_SECONDS = 0.3
# Twice the time limit of a status request that needs no slot (0.4 s). Even a
# full or slow server answers it, so long-running statements are irrelevant.
MIN_SILENT_SECONDS = 0.8
# For writes that wait for a replica's confirmation; longer than the longest
# round trip and the longest execution time, for two different writes.
MIN_UNCONFIRMED_SECONDS = 1.0
# A single failure may be a lost response.
MIN_FAILURES = 2


class FailureKind(enum.Enum):
    """Kind of failure that a primary is suspected of."""

    NONE = "none"
    REFUSING = "refusing"
    """The host refuses connections because no process listens."""
    SILENT = "silent"
    """Requests get no answer."""
    UNCONFIRMED = "unconfirmed"
    """It answers, but does not acknowledge writes."""


@attrs.define
class PrimarySuspicion:
    """Evidence that one primary has failed, since its last answer.

    Attributes:
      refused: Number of connections that were refused or reset.
      refused_at: When the first of them was refused, in seconds.
      silent: Number of requests that got no answer.
      silent_at: When the first of them was sent, in seconds.
      unconfirmed: Number of writes without an answer since the last
        acknowledged commit.
      unconfirmed_at: When the first of them was sent, in seconds.
    """

    refused: int = 0
    refused_at: float = 0.0
    silent: int = 0
    silent_at: float = 0.0
    unconfirmed: int = 0
    unconfirmed_at: float = 0.0

    def answered(self) -> None:
        """Record an answer to any request."""
        self.refused = 0
        self.silent = 0

    def commit_acknowledged(self) -> None:
        """Record an acknowledged commit."""
        self.answered()
        self.unconfirmed = 0

    def connection_refused(self, now: float) -> None:
        """Record a refused or reset connection.

        Args:
          now: The current time in seconds.
        """
        if not self.refused:
            self.refused_at = now
        self.refused += 1

    def request_timed_out(self, sent_at: float) -> None:
        """Record a request without an answer.

        Args:
          sent_at: When the request was sent, in seconds.
        """
        if not self.silent:
            self.silent_at = sent_at
        self.silent += 1

    def write_unconfirmed(self, sent_at: float) -> None:
        """Record a write that was not acknowledged.

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
        """Return the failure that the evidence suffices for, or `NONE`.

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
