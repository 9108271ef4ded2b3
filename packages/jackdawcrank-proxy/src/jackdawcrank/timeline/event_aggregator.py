"""Aggregation of frequent events."""

import collections

from jackdawcrank.timeline.timeline import Timeline
from jackdawcrank_wire.events import EventKind


class EventAggregator:
    """Counts frequent events and records totals by group and reason.

    Recorded one by one, they would flood the timeline. `flush` must be called
    at regular intervals.
    """

    def __init__(
        self, timeline: Timeline, kind: EventKind = EventKind.REFUSALS
    ) -> None:
        self.timeline = timeline
        self.kind = kind
        self.counts: collections.Counter[tuple[str, str]]
        self.counts = collections.Counter()

    def add(self, group: str, reason: str) -> None:
        """Count one refusal.

        Args:
          group: The database group.
          reason: The reason for the refusal.
        """
        self.counts[group, reason] += 1

    def flush(self) -> None:
        """Record one event for each group and reason since the last call."""
        counts, self.counts = self.counts, collections.Counter()
        for (group, reason), count in sorted(counts.items()):
            self.timeline.record(self.kind, group, reason=reason, count=count)
