"""The possible decisions on a read."""

import attrs

from jackdawcrank_policy.values import NotRun


@attrs.frozen
class RouteToReplica:
    """Run the read on a replica.

    Attributes:
      server: The replica's name.
      complete_as_of: The instant up to which the replica is proven to hold
        every write, in seconds of the monotonic clock, if known. An answer
        that arrives more than the maximum age after it must be discarded.
    """

    server: str
    complete_as_of: float | None = None

    def fresh_at(self, answered_at: float, max_age_ms: int | None) -> bool:
        """Return whether an answer is within the maximum age.

        Args:
          answered_at: When the answer arrived, in seconds of the monotonic
            clock.
          max_age_ms: The maximum age in milliseconds, if any.
        """
        if max_age_ms is None:
            return True
        if self.complete_as_of is None:
            return False
        return answered_at - self.complete_as_of <= max_age_ms / 1000


@attrs.frozen
class WaitForReplica:
    """Wait for a replica, then route again with `may_wait` set to False.

    Attributes:
      server: The replica's name.
      until: When the wait ends at the latest, in seconds of the monotonic
        clock.
      probe: True to probe the replica and the primary and wait for both
        answers; False to wait until the replica reaches the request's target
        position.
    """

    server: str
    until: float
    probe: bool = False


@attrs.frozen
class RouteToPrimary:
    """Run the read on the primary, under the term lease."""


@attrs.frozen
class Refuse:
    """Refuse the read without running it.

    Attributes:
      outcome: The outcome to return to the caller.
    """

    outcome: NotRun


ReadChoice = RouteToReplica | WaitForReplica | RouteToPrimary | Refuse
