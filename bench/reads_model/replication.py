"""Replicas that follow the primary's log at a distance."""

import bisect
import enum

import attrs

BURST_PERIOD_SECONDS = 10.0
CAUGHT_UP_SECONDS = 0.02
CATCH_UP_SPEED = 4.0
STUCK_AT_SECONDS = 20.0


class LagShape(enum.StrEnum):
    """How the lag of replicas goes."""

    STEADY = "steady"
    BURSTY = "bursty"
    ONE_STUCK = "one_stuck"


@attrs.frozen
class Lag:
    """The lag of one replica.

    Attributes:
      shape: How the lag goes.
      seconds: The lag, or the length of a stall where it is bursty.
      replica: The replica's number; the first is the one that gets stuck.
    """

    shape: LagShape
    seconds: float
    replica: int

    def horizon(self, now: float) -> float:
        """Return the instant up to which commits are applied."""
        if self.shape is LagShape.BURSTY:
            return self.bursty_horizon(now)
        if self.shape is LagShape.ONE_STUCK and self.replica == 0:
            return min(now, STUCK_AT_SECONDS) - self.seconds
        return now - self.seconds

    def bursty_horizon(self, now: float) -> float:
        """Return the horizon of a replica that stalls and then hurries."""
        shift = self.replica * BURST_PERIOD_SECONDS / 2
        phase = (now + shift) % BURST_PERIOD_SECONDS
        began = now - phase
        if phase < self.seconds:
            return began - CAUGHT_UP_SECONDS
        hurried = (phase - self.seconds) * CATCH_UP_SPEED
        return min(began + hurried, now) - CAUGHT_UP_SECONDS

    def reaches(self, instant: float, now: float, latest: float) -> float:
        """Return when a commit of an instant is applied, at most `latest`."""
        step = 0.005
        while now < latest and self.horizon(now) < instant:
            now += step
        return min(now, latest)


@attrs.define
class Log:
    """The primary's commits.

    Attributes:
      instants: When each entry was committed, ascending.
    """

    instants: list[float] = attrs.Factory(list)

    def commit(self, now: float) -> int:
        """Add an entry; return its offset."""
        self.instants.append(now)
        return len(self.instants)

    def offset_at(self, horizon: float) -> int:
        """Return how many entries were committed up to an instant."""
        return bisect.bisect_right(self.instants, horizon)
