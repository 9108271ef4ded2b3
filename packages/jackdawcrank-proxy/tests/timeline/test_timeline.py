"""Tests of the bounded timeline and its subscriptions."""

import pytest

from jackdawcrank.timeline import Timeline
from jackdawcrank.timeline import event_subscription as subscription_module
from jackdawcrank_wire.events import EventKind, TimelineEvent


def fill(timeline: Timeline, count: int) -> None:
    for number in range(count):
        timeline.record(EventKind.LEASE_LOST, "soil", 3, number=number)


def test_an_event_carries_every_id(timeline: Timeline) -> None:
    event = timeline.record(
        EventKind.WRITE_UNKNOWN, "soil", 3, "r-1", server="soil-1", tries=2
    )
    assert event == TimelineEvent(
        "vm-1",
        "b1",
        1,
        7.0,
        99.0,
        EventKind.WRITE_UNKNOWN,
        "soil",
        3,
        "r-1",
        {"server": "soil-1", "tries": "2"},
    )


def test_details_are_bounded(timeline: Timeline) -> None:
    event = timeline.record(EventKind.INTERNAL_ERROR, detail="x" * 10_000)
    assert len(event.detail["detail"]) == 400


@pytest.mark.parametrize(
    ("since", "kept", "dropped"),
    [
        (0, [4, 5, 6, 7, 8], 3),
        (2, [4, 5, 6, 7, 8], 1),
        (3, [4, 5, 6, 7, 8], 0),
        (6, [7, 8], 0),
        (8, [], 0),
        (20, [], 0),
    ],
)
def test_since_reports_dropped_events(
    timeline: Timeline, since: int, kept: list[int], dropped: int
) -> None:
    fill(timeline, 8)
    found = timeline.since(since)
    assert [event.sequence for event in found.events] == kept
    assert found.dropped == dropped


async def test_subscription_receives_only_later_events(
    timeline: Timeline,
) -> None:
    fill(timeline, 2)
    event_subscription = timeline.follow()
    fill(timeline, 2)
    event_subscription.close()
    fill(timeline, 1)
    assert [event.sequence async for event in event_subscription] == [3, 4]
    assert timeline.subscriptions == []


async def test_full_queue_drops_oldest_events(
    timeline: Timeline, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(subscription_module, "QUEUE_LENGTH", 3)
    event_subscription = timeline.follow()
    fill(timeline, 6)
    timeline.close()
    assert [event.sequence async for event in event_subscription] == [5, 6]


def test_listeners_see_every_event(timeline: Timeline) -> None:
    seen: list[TimelineEvent] = []
    timeline.listeners.append(seen.append)
    fill(timeline, 3)
    assert [event.sequence for event in seen] == [1, 2, 3]
