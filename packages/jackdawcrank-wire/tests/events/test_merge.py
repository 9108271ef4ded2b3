"""Tests of merging the events of several VMs."""

import collections.abc
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawcrank_wire.events import EventKind, TimelineEvent, merge_events

EventFactory = collections.abc.Callable[..., TimelineEvent]


def names(events: list[TimelineEvent]) -> list[str]:
    return [f"{event.vm}{event.sequence}" for event in events]


def test_wall_clocks_decide_without_counters(make_event: EventFactory) -> None:
    events = [make_event("a", 1, 1.0), make_event("b", 1, 2.0)]
    events += [make_event("a", 2, 3.0), make_event("b", 2, 2.5)]
    assert names(merge_events(events)) == ["a1", "b1", "b2", "a2"]


def test_sequence_takes_precedence_over_a_clock_set_back(
    make_event: EventFactory,
) -> None:
    events = [make_event("a", 2, 1.0), make_event("a", 1, 5.0)]
    assert names(merge_events(events)) == ["a1", "a2"]


def test_a_lower_term_comes_first_where_clocks_differ(
    make_event: EventFactory,
) -> None:
    events = [
        make_event("fast", 1, 11.5, group="soil", term=4),
        make_event("slow", 1, 10.0, group="soil", term=5),
        make_event("slow", 2, 11.0, group="wood", term=9),
        make_event("third", 1, 11.2),
    ]
    assert names(merge_events(events)) == ["third1", "fast1", "slow1", "slow2"]


def test_an_event_beyond_the_clock_skew_is_not_moved(
    make_event: EventFactory,
) -> None:
    events = [
        make_event("b", 1, 10.0, group="soil", term=5),
        make_event("a", 1, 40.0, group="soil", term=4),
    ]
    assert names(merge_events(events)) == ["b1", "a1"]


def test_moving_one_event_moves_those_that_depend_on_it(
    make_event: EventFactory,
) -> None:
    events = [
        make_event("a", 1, 11.5, group="soil", term=4),
        make_event("b", 1, 10.0, group="soil", term=5),
        make_event("b", 2, 10.1, group="wood", term=1),
        make_event("c", 1, 10.2, group="wood", term=2),
    ]
    assert names(merge_events(events)) == ["a1", "b1", "b2", "c1"]


@pytest.mark.parametrize(
    ("kind", "detail"),
    [
        (EventKind.CONFIG_APPLIED, "version"),
        (EventKind.HOMES_CHANGED, "config_version"),
    ],
)
def test_a_lower_configuration_comes_first(
    make_event: EventFactory, kind: EventKind, detail: str
) -> None:
    events = [
        make_event("b", 1, 1.0, kind, **{detail: "8"}),
        make_event("a", 1, 2.0, kind, **{detail: "7"}),
    ]
    assert names(merge_events(events)) == ["a1", "b1"]


def test_contradicting_counters_terminate(
    make_event: EventFactory,
) -> None:
    events = [
        make_event("a", 1, 1.0, group="soil", term=2),
        make_event("a", 2, 1.1, group="wood", term=1),
        make_event("b", 1, 1.2, group="wood", term=2),
        make_event("b", 2, 1.3, group="soil", term=1),
    ]
    assert sorted(names(merge_events(events))) == ["a1", "a2", "b1", "b2"]


def test_a_duplicate_event_appears_once(
    make_event: EventFactory,
) -> None:
    event = make_event("a", 1, 1.0)
    assert merge_events([event, event]) == [event]


EVENTS = st.lists(
    st.builds(
        TimelineEvent,
        vm=st.sampled_from("abc"),
        boot=st.sampled_from("12"),
        sequence=st.integers(1, 6),
        monotonic=st.just(0.0),
        wall=st.floats(0, 9),
        kind=st.just(EventKind.LEASE_LOST),
        group=st.sampled_from(["", "soil", "wood"]),
        term=st.integers(0, 3),
        detail=st.dictionaries(
            st.just("config_version"), st.sampled_from(["1", "2", "x"])
        ),
    ),
    max_size=25,
    unique_by=lambda event: (event.vm, event.boot, event.sequence),
)


@given(events=EVENTS, seed=st.integers(0, 9))
def test_merging_keeps_every_event_and_each_process_in_order(
    events: list[TimelineEvent], seed: int
) -> None:
    merged = merge_events(events)
    assert sorted(map(repr, merged)) == sorted(map(repr, events))
    seen: dict[tuple[str, str], int] = {}
    for event in merged:
        assert event.sequence > seen.get((event.vm, event.boot), 0)
        seen[event.vm, event.boot] = event.sequence
    random.Random(seed).shuffle(events)
    assert merge_events(events) == merged
