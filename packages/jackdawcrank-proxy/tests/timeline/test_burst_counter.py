"""Many refusals in one event."""

from jackdawcrank.timeline import BurstCounter, Timeline


def test_refusals_become_one_event_for_each_reason(timeline: Timeline) -> None:
    bursts = BurstCounter(timeline)
    for _ in range(1000):
        bursts.add("soil", "overloaded")
    bursts.add("soil", "deadline")
    bursts.flush()
    bursts.flush()
    events = timeline.since(0).events
    assert [(event.group, dict(event.detail)) for event in events] == [
        ("soil", {"reason": "deadline", "count": "1"}),
        ("soil", {"reason": "overloaded", "count": "1000"}),
    ]
