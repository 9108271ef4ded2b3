"""Upper bounds of the primary's log position over the last seconds."""

import bisect

import attrs

from jackdawcrank_policy.values import Position

MAX_POINTS = 512
MIN_SPACING_SECONDS = 0.02


@attrs.define
class PrimaryHistory:
    """Instants and the log offsets that the primary had not exceeded by then.

    Attributes:
      instants: Seconds on the monotonic clock, ascending.
      offsets: For each instant, the log offset that bounds the primary's
        log at that instant, ascending.
    """

    instants: list[float] = attrs.Factory(list)
    offsets: list[int] = attrs.Factory(list)

    def add(self, instant: float, position: Position) -> None:
        """Record that the primary was not above a position at an instant.

        Omitting a point can only overestimate ages, so points that are out of
        order or too close together are ignored.

        Args:
          instant: When the probe or write that reported the position was
            sent, in seconds of the monotonic clock.
          position: The reported position.
        """
        if self.instants and instant < self.instants[-1]:
            return
        if self.offsets and position.offset <= self.offsets[-1]:
            self.instants[-1] = instant
            return
        if self.is_too_close(instant):
            return
        self.instants.append(instant)
        self.offsets.append(position.offset)
        del self.instants[:-MAX_POINTS], self.offsets[:-MAX_POINTS]

    def is_too_close(self, instant: float) -> bool:
        """Return whether an instant is too close to the second newest one."""
        if len(self.instants) < 2:
            return False
        return instant - self.instants[-2] < MIN_SPACING_SECONDS

    def complete_as_of(self, position: Position) -> float | None:
        """Return the latest instant up to which a position covers all writes.

        Args:
          position: The position up to which a replica has applied the log.
        """
        index = bisect.bisect_right(self.offsets, position.offset) - 1
        return self.instants[index] if index >= 0 else None

    def instant_of(self, offset: int, newest: float) -> float | None:
        """Estimate when the primary's log reached an offset.

        The instant is interpolated linearly between the two nearest points.

        Args:
          offset: A log offset.
          newest: The result for an offset above all known ones.

        Returns:
          Seconds of the monotonic clock, or None if the offset is below all
          known ones.
        """
        index = bisect.bisect_left(self.offsets, offset)
        if index == len(self.offsets):
            return newest
        if index == 0:
            return self.instants[0] if self.offsets[0] == offset else None
        low, high = self.offsets[index - 1], self.offsets[index]
        began, ended = self.instants[index - 1], self.instants[index]
        return began + (ended - began) * (offset - low) / (high - low)
