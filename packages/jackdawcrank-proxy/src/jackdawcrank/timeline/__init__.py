"""The events of one process."""

from jackdawcrank.timeline.burst_counter import BurstCounter
from jackdawcrank.timeline.follower import Follower
from jackdawcrank.timeline.kept_events import KeptEvents
from jackdawcrank.timeline.timeline import DEFAULT_CAPACITY, Timeline

__all__ = [
    "DEFAULT_CAPACITY",
    "BurstCounter",
    "Follower",
    "KeptEvents",
    "Timeline",
]
