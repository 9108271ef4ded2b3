"""Tests of the aggregation of events."""

from jackdawcrank.timeline import EventAggregator, Timeline


def test_refusals_are_aggregated_by_reason(timeline: Timeline) -> None:
    aggregator = EventAggregator(timeline)
    for _ in range(1000):
        aggregator.add("soil", "overloaded")
    aggregator.add("soil", "deadline")
    aggregator.flush()
    aggregator.flush()
    events = timeline.since(0).events
    assert [(event.group, dict(event.detail)) for event in events] == [
        ("soil", {"reason": "deadline", "count": "1"}),
        ("soil", {"reason": "overloaded", "count": "1000"}),
    ]
