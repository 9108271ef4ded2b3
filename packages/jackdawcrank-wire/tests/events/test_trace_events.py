"""Tests of the conversion of the timeline to the trace-event format."""

import collections.abc
import json

from jackdawcrank_wire.events import EventKind, TimelineEvent, to_trace_events

EventFactory = collections.abc.Callable[..., TimelineEvent]


def test_vms_are_processes_and_groups_are_threads(
    make_event: EventFactory,
) -> None:
    events = [
        make_event("a", 1, 1.0, EventKind.VM_STARTED),
        make_event("a", 2, 2.0, EventKind.LEASE_LOST, "soil", 3, reason="x"),
        make_event("b", 1, 3.0, EventKind.LEASE_GAINED, "soil", 3),
    ]
    entries = json.loads(to_trace_events(events))["traceEvents"]
    names = [entry["args"]["name"] for entry in entries if entry["ph"] == "M"]
    assert names == ["a", "b", "proxy", "soil", "soil"]
    instants = [entry for entry in entries if entry["ph"] == "i"]
    assert [entry["ts"] for entry in instants] == [1e6, 2e6, 3e6]
    assert [(entry["pid"], entry["tid"]) for entry in instants] == [
        (1, 1),
        (1, 2),
        (2, 3),
    ]
    assert instants[1]["args"]["reason"] == "x"


def test_a_promotion_is_a_span(make_event: EventFactory) -> None:
    started = EventKind.PROMOTION_STARTED
    events = [
        make_event("a", 1, 0.5, EventKind.PROMOTION_ABANDONED, "soil", 3),
        make_event("a", 2, 1.0, started, "soil", 3),
        make_event("b", 1, 1.5, started, "wood", 7),
        make_event("a", 3, 2.0, EventKind.PROMOTION_FINISHED, "soil", 4),
        make_event("b", 2, 2.5, EventKind.PROMOTION_ABANDONED, "wood", 7),
    ]
    entries = json.loads(to_trace_events(events))["traceEvents"]
    spans = [entry for entry in entries if entry["name"] == "promotion"]
    assert [(entry["ph"], entry["id"]) for entry in spans] == [
        ("b", "soil/3"),
        ("b", "wood/7"),
        ("e", "soil/3"),
        ("e", "wood/7"),
    ]
