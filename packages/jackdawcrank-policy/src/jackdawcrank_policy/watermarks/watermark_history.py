"""Positions that a replica must have reached to be fresh enough."""

import collections

import attrs

from jackdawcrank_policy.values.position import Position

# Watermarks closer together than this are not recorded. Reads require ages of
# about a second, so a finer spacing would only cost memory.
MIN_STEP_SECONDS = 0.05
# Twice the greatest maximum age that our users configure (2.5 s).
KEEP_SECONDS = 5.0


@attrs.frozen
class Watermark:
    """A position that holds every commit acknowledged before an instant.

    Attributes:
      asked_at: When the request that the primary answered was sent, in
        seconds of a clock that keeps running while the machine is suspended.
      position: The log position in the primary's answer.
    """

    asked_at: float
    position: Position


@attrs.define
class WatermarkHistory:
    """The watermarks of one group, taken from its primary's answers.

    Every commit acknowledged before a request was sent is at or below the
    position in the answer, provided that the server was the primary when it
    answered. A replica that has reached this position therefore lacks no
    commit older than the request.

    Attributes:
      watermarks: The watermarks in the order of their requests.
    """

    watermarks: collections.deque[Watermark] = attrs.Factory(collections.deque)

    def add(self, asked_at: float, position: Position) -> None:
        """Add the answer of a server that is proven to have been the primary.

        Answers that are out of order, have a lower position or come too soon
        after the newest watermark are ignored.

        Args:
          asked_at: When the request was sent, in seconds.
          position: The position in the answer.
        """
        newest = self.newest()
        if newest is not None:
            if position < newest.position or asked_at <= newest.asked_at:
                return
            if asked_at - newest.asked_at < MIN_STEP_SECONDS:
                return
        self.watermarks.append(Watermark(asked_at, position))
        while self.watermarks[0].asked_at < asked_at - KEEP_SECONDS:
            self.watermarks.popleft()

    def newest(self) -> Watermark | None:
        """Return the watermark of the latest request, or None."""
        return self.watermarks[-1] if self.watermarks else None

    def oldest_within(self, now: float, max_age: float) -> Watermark | None:
        """Return the oldest watermark within a maximum age, or None.

        The oldest one is preferred because replicas have had the most time to
        reach it.

        Args:
          now: The current time in seconds, on the clock used for `add`.
          max_age: The maximum age in seconds.
        """
        for watermark in self.watermarks:
            if now - watermark.asked_at <= max_age:
                return watermark
        return None
