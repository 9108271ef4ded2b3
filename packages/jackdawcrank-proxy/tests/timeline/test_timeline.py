"""The bounded time line and its live readers."""

import pytest

from jackdawcrank.timeline import Timeline
from jackdawcrank.timeline import follower as follower_module
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
def test_a_reader_learns_what_it_missed(
    timeline: Timeline, since: int, kept: list[int], dropped: int
) -> None:
    fill(timeline, 8)
    found = timeline.since(since)
    assert [event.sequence for event in found.events] == kept
    assert found.dropped == dropped


async def test_followers_get_what_is_recorded_from_now_on(
    timeline: Timeline,
) -> None:
    fill(timeline, 2)
    follower = timeline.follow()
    fill(timeline, 2)
    follower.close()
    fill(timeline, 1)
    assert [event.sequence async for event in follower] == [3, 4]
    assert timeline.followers == []


async def test_a_slow_follower_loses_the_oldest(
    timeline: Timeline, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(follower_module, "QUEUE_LENGTH", 3)
    follower = timeline.follow()
    fill(timeline, 6)
    timeline.close()
    assert [event.sequence async for event in follower] == [5, 6]


def test_listeners_see_every_event(timeline: Timeline) -> None:
    seen: list[TimelineEvent] = []
    timeline.listeners.append(seen.append)
    fill(timeline, 3)
    assert [event.sequence for event in seen] == [1, 2, 3]
