"""What to do with a read."""

import attrs

from jackdawcrank_policy.values import NotRun


@attrs.frozen
class RouteToReplica:
    """Run the read on a replica.

    Attributes:
      server: The replica's name.
      complete_as_of: The instant up to which the replica surely holds every
        write, if known. An answer that comes later than the stated age after
        it has to be dropped.
    """

    server: str
    complete_as_of: float | None = None

    def fresh_at(self, answered_at: float, max_age_ms: int | None) -> bool:
        """Return whether an answer is within the stated age.

        Args:
          answered_at: When the answer came.
          max_age_ms: The stated age in milliseconds, if any.
        """
        if max_age_ms is None:
            return True
        if self.complete_as_of is None:
            return False
        return answered_at - self.complete_as_of <= max_age_ms / 1000


@attrs.frozen
class WaitForReplica:
    """Wait for a replica, then choose again with `may_wait` off.

    Attributes:
      server: The replica's name.
      until: When to choose again without further waiting.
      probe: Whether to probe the replica and the primary and wait for both
        answers; if not, to wait until the replica reaches the request's
        target.
    """

    server: str
    until: float
    probe: bool = False


@attrs.frozen
class RouteToPrimary:
    """Run the read on the primary, under the term lease."""


@attrs.frozen
class Refuse:
    """Answer that the read did not run.

    Attributes:
      outcome: The answer.
    """

    outcome: NotRun


ReadChoice = RouteToReplica | WaitForReplica | RouteToPrimary | Refuse
