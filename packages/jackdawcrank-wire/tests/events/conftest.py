import collections.abc

import pytest

from jackdawcrank_wire.events import EventKind, TimelineEvent

EventFactory = collections.abc.Callable[..., TimelineEvent]


@pytest.fixture
def make_event() -> EventFactory:
    def make(
        vm: str,
        sequence: int,
        wall: float,
        kind: EventKind | str = EventKind.CONFIG_APPLIED,
        group: str = "",
        term: int = 0,
        **detail: str,
    ) -> TimelineEvent:
        return TimelineEvent(
            vm, "b1", sequence, wall, wall, kind, group, term, "", detail
        )

    return make
