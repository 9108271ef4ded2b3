"""Timeline events and their serialized forms."""

from jackdawcrank_wire.events.event_kind import EventKind
from jackdawcrank_wire.events.json_lines import (
    MalformedEvent,
    event_from_dict,
    event_to_dict,
    from_json_line,
    to_json_lines,
)
from jackdawcrank_wire.events.merge import merge_events
from jackdawcrank_wire.events.timeline_event import TimelineEvent
from jackdawcrank_wire.events.trace_events import to_trace_events

__all__ = [
    "MalformedEvent",
    "EventKind",
    "TimelineEvent",
    "event_from_dict",
    "event_to_dict",
    "from_json_line",
    "merge_events",
    "to_json_lines",
    "to_trace_events",
]
