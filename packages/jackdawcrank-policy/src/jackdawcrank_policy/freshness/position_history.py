"""The positions that one server reported over the last minutes."""

import bisect

import attrs

from jackdawcrank_policy.values import Position

MAX_POINTS = 128
FINE_SPACING_SECONDS = 0.05
COARSE_SPACING_SECONDS = 1.0


@attrs.define
class SpacedPoints:
    """Points with a minimum spacing, which the newest point may undercut.

    Attributes:
      spacing: The minimum seconds between two points.
      instants: When each point's probe was sent, in seconds of the monotonic
        clock, ascending.
      positions: The position that each probe reported.
    """

    spacing: float
    instants: list[float] = attrs.Factory(list)
    positions: list[Position] = attrs.Factory(list)

    def add(self, instant: float, position: Position) -> None:
        """Add the newest point.

        It replaces the last point if the spacing to the one before that is
        too small.
        """
        is_too_close = len(self.instants) > 1 and (
            instant - self.instants[-2] < self.spacing
        )
        if is_too_close:
            del self.instants[-1], self.positions[-1]
        self.instants.append(instant)
        self.positions.append(position)
        del self.instants[:-MAX_POINTS], self.positions[:-MAX_POINTS]

    def covers(self, instant: float) -> bool:
        """Return whether no point after an instant has been evicted."""
        return bool(self.instants) and instant >= self.instants[0]

    def first_after(self, instant: float) -> Position | None:
        """Return the position of the first point after an instant."""
        index = bisect.bisect_right(self.instants, instant)
        return self.positions[index] if index < len(self.positions) else None


@attrs.define
class PositionHistory:
    """Dense points of the last seconds and sparse ones of the last minutes.

    Any point after an instant is a valid bound of what was read before that
    instant. Points later than the first one only give a higher bound.

    Attributes:
      fine: The points of the last seconds.
      coarse: The points of the last minutes.
    """

    fine: SpacedPoints = attrs.Factory(
        lambda: SpacedPoints(FINE_SPACING_SECONDS)
    )
    coarse: SpacedPoints = attrs.Factory(
        lambda: SpacedPoints(COARSE_SPACING_SECONDS)
    )

    def add(self, instant: float, position: Position) -> None:
        """Add the position that the newest probe reported.

        Args:
          instant: When the probe was sent, in seconds of the monotonic clock.
          position: The position that the server reported.
        """
        self.fine.add(instant, position)
        self.coarse.add(instant, position)

    def first_after(self, instant: float) -> Position | None:
        """Return the position of the first stored probe after an instant.

        Args:
          instant: When a read ended, in seconds of the monotonic clock.
        """
        points = self.fine if self.fine.covers(instant) else self.coarse
        return points.first_after(instant)
