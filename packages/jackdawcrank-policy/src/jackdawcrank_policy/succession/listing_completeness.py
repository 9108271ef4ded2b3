"""Whether every running server is listed in the store."""

import attrs

# Entries that expired during an outage of the store are back about two seconds
# after its return if their servers run; 0.5 s more allows for delivery.
ENTRY_RETURN_SECONDS = 2.5


@attrs.define
class ListingCompleteness:
    """Tracks whether the list of servers may lack one that runs.

    Entries expire while the store is unavailable. For some time after its
    return, a server without an entry may still serve and confirm commits. A
    process that has just started cannot tell when the store returned, so it
    counts from the first answer that it gets.

    Attributes:
      answering_since: When the store first answered after the last failed call,
        in seconds on a monotonic clock; None while it does not answer.
    """

    answering_since: float | None = None

    def store_answered(self, now: float) -> None:
        """Record an answer of the store.

        Args:
          now: The current time in seconds.
        """
        if self.answering_since is None:
            self.answering_since = now

    def store_lost(self) -> None:
        """Record a call that the store did not answer."""
        self.answering_since = None

    def complete(self, now: float) -> bool:
        """Return whether a server without an entry is gone.

        Args:
          now: The current time in seconds.
        """
        return (
            self.answering_since is not None
            and now - self.answering_since >= ENTRY_RETURN_SECONDS
        )
