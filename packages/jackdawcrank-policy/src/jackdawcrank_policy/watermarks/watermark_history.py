"""Positions that a replica must have reached to be fresh enough."""

import collections

import attrs

from jackdawcrank_policy.values.position import Position

# Answers closer together than this replace each other: reads need a floor of
# about a second's age, so finer steps would only cost memory.
MIN_STEP_SECONDS = 0.05
# Twice the greatest age that our users declare (2.5 s).
KEEP_SECONDS = 5.0


@attrs.frozen
class Watermark:
    """A position that holds every commit acknowledged before an instant.

    Attributes:
      asked_at: When the question was sent that the primary answered; seconds
        on a clock that goes on while the machine is suspended.
      position: The log position in the primary's answer.
    """

    asked_at: float
    position: Position


@attrs.define
class WatermarkHistory:
    """The floors of one group, learned from its primary's answers.

    A commit acknowledged before a question was sent is at or below the
    position in the answer, provided that the server led when it answered. So
    a server that has the position lacks no commit older than the question.

    Attributes:
      watermarks: The floors in the order of their questions.
    """

    watermarks: collections.deque[Watermark] = attrs.Factory(collections.deque)

    def add(self, asked_at: float, position: Position) -> None:
        """Take in an answer of a server that is proved to have led.

        Args:
          asked_at: When the question was sent.
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
        """Return the floor of the latest question, or None."""
        return self.watermarks[-1] if self.watermarks else None

    def oldest_within(self, now: float, max_age: float) -> Watermark | None:
        """Return the oldest floor that still proves an age, or None.

        The oldest one is best: replicas have had the most time to reach it.

        Args:
          now: The current time, on the clock of `add`.
          max_age: The greatest age in seconds.
        """
        for watermark in self.watermarks:
            if now - watermark.asked_at <= max_age:
                return watermark
        return None
