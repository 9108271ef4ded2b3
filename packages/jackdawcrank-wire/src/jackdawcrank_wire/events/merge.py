"""Merges the events of several VMs into one order."""

import bisect
import collections
import collections.abc
import itertools

from jackdawcrank_wire.events.event_kind import EventKind
from jackdawcrank_wire.events.timeline_event import TimelineEvent

MAX_CLOCK_SKEW_SECONDS = 2.0
MIN_EVENT_SPACING_SECONDS = 1e-6
MAX_PASSES = 5
CONFIG_VERSION_DETAIL = "config_version"
APPLIED_VERSION_DETAIL = "version"

Stream = list[TimelineEvent]
Times = list[list[float]]
EventIndex = tuple[int, int]


def merge_events(
    events: collections.abc.Iterable[TimelineEvent],
) -> list[TimelineEvent]:
    """Return the events of several VMs in one order without duplicates.

    Events of one process are ordered by sequence number. Events of different
    processes are ordered by wall clock time, with a correction for clock skew:
    an event with a lower term of a group, or with a lower configuration
    version, precedes an event with a higher one if their wall clock times
    differ by at most `MAX_CLOCK_SKEW_SECONDS`. A larger difference is assumed
    to come from a VM that lags behind, and the wall clock order is kept.

    Args:
      events: The events, in any order.
    """
    streams = split_streams(events)
    times = corrected_times(streams)
    sortable_events = [
        (times[number][index], number, index, event)
        for number, stream in enumerate(streams)
        for index, event in enumerate(stream)
    ]
    return [
        event
        for *_, event in sorted(sortable_events, key=lambda entry: entry[:3])
    ]


def split_streams(
    events: collections.abc.Iterable[TimelineEvent],
) -> list[Stream]:
    """Return the events of each process by sequence, without duplicates.

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


def corrected_times(streams: list[Stream]) -> Times:
    """Return wall times adjusted to the order required by the counters.

    Moving one event can require moving others, so the adjustment is repeated
    until no event moves. Counters that contradict each other may not
    settle, so the number of passes is limited to `MAX_PASSES`.

    Args:
      streams: The events of each process, ordered by sequence.
    """
    counters = index_by_counter(streams)
    times = [[event.wall for event in stream] for stream in streams]
    for _ in range(MAX_PASSES):
        times = [
            list(itertools.accumulate(wall_times, max)) for wall_times in times
        ]
        moved = [
            move_after_lower_values(counter, times)
            for counter in counters.values()
        ]
        if not any(moved):
            break
    return [list(itertools.accumulate(wall_times, max)) for wall_times in times]


def index_by_counter(
    streams: list[Stream],
) -> dict[str, dict[int, list[EventIndex]]]:
    """Return the indexes of events, grouped by counter name and value.

    Args:
      streams: The events of each process, ordered by sequence.
    """
    counters: dict[str, dict[int, list[EventIndex]]]
    counters = collections.defaultdict(lambda: collections.defaultdict(list))
    for number, stream in enumerate(streams):
        for index, event in enumerate(stream):
            for name, value in ordering_counters(event):
                counters[name][value].append((number, index))
    return counters


def move_after_lower_values(
    indexes_by_value: dict[int, list[EventIndex]], times: Times
) -> bool:
    """Move events after those with lower values of one counter.

    Args:
      indexes_by_value: The indexes of events, grouped by counter value.
      times: The time of each event, in seconds; modified in place.

    Returns:
      Whether any event was moved.
    """
    moved = False
    lower_times: list[float] = []
    for _, indexes in sorted(indexes_by_value.items()):
        for number, index in indexes:
            event_time = times[number][index]
            lower_count = bisect.bisect_right(
                lower_times, event_time + MAX_CLOCK_SKEW_SECONDS
            )
            if lower_count and lower_times[lower_count - 1] >= event_time:
                times[number][index] = (
                    lower_times[lower_count - 1] + MIN_EVENT_SPACING_SECONDS
                )
                moved = True
        for number, index in indexes:
            bisect.insort(lower_times, times[number][index])
    return moved


def ordering_counters(event: TimelineEvent) -> list[tuple[str, int]]:
    """Return the counters that order an event relative to other VMs' events.

    Args:
      event: The event.
    """
    event_counters = []
    if event.group and event.term:
        event_counters.append((f"term of {event.group}", event.term))
    if version := config_version(event):
        event_counters.append(("configuration", version))
    return event_counters


def config_version(event: TimelineEvent) -> int:
    """Return the configuration version of an event; 0 if it has none.

    Args:
      event: The event.
    """
    text = event.detail.get(CONFIG_VERSION_DETAIL, "")
    if not text and event.kind == EventKind.CONFIG_APPLIED:
        text = event.detail.get(APPLIED_VERSION_DETAIL, "")
    return int(text) if text.isdecimal() else 0
