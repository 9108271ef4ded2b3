"""Timeline of the events of one process."""

from jackdawcrank.timeline.event_aggregator import EventAggregator
from jackdawcrank.timeline.event_subscription import EventSubscription
from jackdawcrank.timeline.retained_events import RetainedEvents
from jackdawcrank.timeline.timeline import DEFAULT_CAPACITY, Timeline

__all__ = [
    "DEFAULT_CAPACITY",
    "EventAggregator",
    "EventSubscription",
    "RetainedEvents",
    "Timeline",
]
