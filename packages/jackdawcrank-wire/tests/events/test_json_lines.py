"""Tests of the conversion of timeline events to and from JSON lines."""

import collections.abc
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawcrank_wire.events import (
    EventKind,
    MalformedEvent,
    TimelineEvent,
    event_from_dict,
    event_to_dict,
    from_json_line,
    to_json_lines,
)

EventFactory = collections.abc.Callable[..., TimelineEvent]


def test_events_survive_a_round_trip(make_event: EventFactory) -> None:
    events = [
        make_event("a", 1, 1.5, EventKind.LEASE_LOST, "soil", 3, reason="x"),
        make_event("b", 2, 2.5),
    ]
    lines = to_json_lines(events).splitlines()
    assert [from_json_line(line) for line in lines] == events


def test_a_kind_of_a_newer_version_is_kept(make_event: EventFactory) -> None:
    event = make_event("a", 1, 1.0, "kind_of_a_newer_version")
    assert event_from_dict(event_to_dict(event)) == event


@pytest.mark.parametrize("field", ["vm", "sequence", "wall", "detail"])
def test_a_missing_field_is_named(make_event: EventFactory, field: str) -> None:
    fields = event_to_dict(make_event("a", 1, 1.0))
    del fields[field]
    malformed = event_from_dict(fields)
    assert isinstance(malformed, MalformedEvent)
    assert field in malformed.detail


@given(
    line=st.text()
    | st.recursive(
        st.none() | st.integers() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    ).map(json.dumps)
)
def test_garbage_is_a_malformed_event(line: str) -> None:
    assert isinstance(from_json_line(line), MalformedEvent)
