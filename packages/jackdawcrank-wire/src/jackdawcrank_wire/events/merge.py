"""One ordered view of many VMs' events."""

import collections
import collections.abc
import heapq

import attrs

from jackdawcrank_wire.events.timeline_event import TimelineEvent

CONFIG_VERSION_DETAIL = "config_version"

Stream = list[TimelineEvent]


def merge_events(
    events: collections.abc.Iterable[TimelineEvent],
) -> list[TimelineEvent]:
    """Return events of many VMs in one order.

    Within one process the sequence decides. Between processes the wall clock
    decides, except that what is known of cause and effect goes first: an
    event of a group's lower term comes before one of a higher term, and an
    event of a lower configuration version before one of a higher version.
    For this a stream's head waits while another stream still has an event
    that must come before it; where hints contradict each other, the wall
    clock decides. An event that is given twice appears once.

    Args:
      events: The events, in any order.
    """
    streams = split_streams(events)
    order = MergeOrder(streams)
    merged = []
    while order.heads:
        merged.append(order.pop())
    return merged


def split_streams(
    events: collections.abc.Iterable[TimelineEvent],
) -> list[Stream]:
    """Return each process's events by sequence, without repeats.

    Args:
      events: The events, in any order.
    """
    streams: dict[tuple[str, str], dict[int, TimelineEvent]]
    streams = collections.defaultdict(dict)
    for event in events:
        streams[event.vm, event.boot][event.sequence] = event
    return [
        [by_sequence[number] for number in sorted(by_sequence)]
        for _, by_sequence in sorted(streams.items())
    ]


def config_version(event: TimelineEvent) -> int:
    """Return the configuration version that an event names; 0 for none.

    Args:
      event: The event.
    """
    text = event.detail.get(CONFIG_VERSION_DETAIL, "")
    return int(text) if text.isdecimal() else 0


def hints(event: TimelineEvent) -> list[tuple[str, int]]:
    """Return the counters that order an event against other VMs' events.

    Args:
      event: The event.
    """
    found = []
    if event.group and event.term:
        found.append((f"term of {event.group}", event.term))
    if version := config_version(event):
        found.append(("configuration", version))
    return found


@attrs.define
class MergeOrder:
    """The streams' heads and what still has to come before them.

    Attributes:
      streams: Each process's events by sequence.
      heads: The next event of each stream that has one, by wall clock.
      next_index: The index of each stream's head.
      pending: For each counter, how often each value is still to come.
    """

    streams: list[Stream]
    heads: list[tuple[float, int]] = attrs.field(init=False, factory=list)
    next_index: list[int] = attrs.field(init=False)
    pending: dict[str, collections.Counter[int]] = attrs.field(
        init=False, factory=lambda: collections.defaultdict(collections.Counter)
    )

    def __attrs_post_init__(self) -> None:
        self.next_index = [0] * len(self.streams)
        for number, stream in enumerate(self.streams):
            heapq.heappush(self.heads, (stream[0].wall, number))
            for event in stream:
                for counter, value in hints(event):
                    self.pending[counter][value] += 1

    def pop(self) -> TimelineEvent:
        """Remove and return the next event of the merged order."""
        waiting = []
        chosen = heapq.heappop(self.heads)
        while self.must_wait(self.head(chosen[1])) and self.heads:
            waiting.append(chosen)
            chosen = heapq.heappop(self.heads)
        if self.must_wait(self.head(chosen[1])) and waiting:
            waiting.append(chosen)
            chosen = waiting.pop(0)
        for entry in waiting:
            heapq.heappush(self.heads, entry)
        return self.take(chosen[1])

    def head(self, number: int) -> TimelineEvent:
        """Return the next event of a stream.

        Args:
          number: The stream's number.
        """
        return self.streams[number][self.next_index[number]]

    def must_wait(self, event: TimelineEvent) -> bool:
        """Return whether an event with a lower counter is still to come.

        Args:
          event: The head of a stream.
        """
        return any(
            min(self.pending[counter]) < value
            for counter, value in hints(event)
        )

    def take(self, number: int) -> TimelineEvent:
        """Remove and return the head of a stream.

        Args:
          number: The stream's number.
        """
        event = self.head(number)
        self.next_index[number] += 1
        if self.next_index[number] < len(self.streams[number]):
            heapq.heappush(self.heads, (self.head(number).wall, number))
        for counter, value in hints(event):
            self.pending[counter][value] -= 1
            if not self.pending[counter][value]:
                del self.pending[counter][value]
        return event
