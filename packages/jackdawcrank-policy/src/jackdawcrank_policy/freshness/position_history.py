"""The positions that probes of one server showed over the last minutes."""

import bisect

import attrs

from jackdawcrank_policy.values import Position

MAX_POINTS = 128
FINE_SPACING_SECONDS = 0.05
COARSE_SPACING_SECONDS = 1.0


@attrs.define
class SpacedPoints:
    """Points that are a least time apart, but for the newest.

    Attributes:
      spacing: The least seconds between two points.
      instants: When each point's probe was sent, ascending.
      positions: The position that each probe showed.
    """

    spacing: float
    instants: list[float] = attrs.Factory(list)
    positions: list[Position] = attrs.Factory(list)

    def add(self, instant: float, position: Position) -> None:
        """Add a point later than all others, in place of a close one."""
        is_too_close = len(self.instants) > 1 and (
            instant - self.instants[-2] < self.spacing
        )
        if is_too_close:
            del self.instants[-1], self.positions[-1]
        self.instants.append(instant)
        self.positions.append(position)
        del self.instants[:-MAX_POINTS], self.positions[:-MAX_POINTS]

    def covers(self, instant: float) -> bool:
        """Return whether no point after an instant was dropped for age."""
        return bool(self.instants) and instant >= self.instants[0]

    def first_after(self, instant: float) -> Position | None:
        """Return the position of the first point after an instant."""
        index = bisect.bisect_right(self.instants, instant)
        return self.positions[index] if index < len(self.positions) else None


@attrs.define
class PositionHistory:
    """Points of the last seconds, and sparser ones of the last minutes.

    A later point than the first after an instant is a valid bound of what
    was read before it, only a higher one.

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
        """Add what the newest probe showed.

        Args:
          instant: When the probe was sent.
          position: The position that the server reported.
        """
        self.fine.add(instant, position)
        self.coarse.add(instant, position)

    def first_after(self, instant: float) -> Position | None:
        """Return what the first known probe after an instant showed.

        Args:
          instant: When a read ended.
        """
        points = self.fine if self.fine.covers(instant) else self.coarse
        return points.first_after(instant)
