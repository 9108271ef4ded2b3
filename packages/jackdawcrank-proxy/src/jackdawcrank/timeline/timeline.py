"""Timeline of the events of one process."""

import asyncio
import collections
import collections.abc
import itertools
import time

from jackdawcrank.timeline.event_subscription import EventSubscription
from jackdawcrank.timeline.retained_events import RetainedEvents
from jackdawcrank_wire.events import EventKind, TimelineEvent

DEFAULT_CAPACITY = 10_000
MAX_DETAIL_CHARACTERS = 400

Clock = collections.abc.Callable[[], float]
Listener = collections.abc.Callable[[TimelineEvent], None]


class Timeline:
    """Keeps the newest events of a process in bounded memory."""

    def __init__(
        self,
        vm: str,
        boot: str,
        capacity: int = DEFAULT_CAPACITY,
        clock: Clock | None = None,
        wall: Clock = time.time,
    ) -> None:
        self.vm = vm
        self.boot = boot
        self.clock = clock or asyncio.get_running_loop().time
        self.wall = wall
        self.events: collections.deque[TimelineEvent]
        self.events = collections.deque(maxlen=capacity)
        self.sequence = 0
        self.subscriptions: list[EventSubscription] = []
        self.listeners: list[Listener] = []

    def record(
        self,
        kind: EventKind,
        group: str = "",
        term: int = 0,
        request_id: str = "",
        **detail: object,
    ) -> TimelineEvent:
        """Add an event and return it.

        Args:
          kind: The kind of event.
          group: The database group concerned; empty if none.
          term: The term concerned; 0 if none.
          request_id: The id of the caller's request concerned; empty if none.
          **detail: Further details, stored as text of bounded length.
        """
        self.sequence += 1
        event = TimelineEvent(
            self.vm,
            self.boot,
            self.sequence,
            self.clock(),
            self.wall(),
            kind,
            group,
            term,
            request_id,
            {key: detail_text(value) for key, value in detail.items()},
        )
        self.events.append(event)
        for listener in self.listeners:
            listener(event)
        for event_subscription in self.subscriptions:
            event_subscription.enqueue(event)
        return event

    def since(self, sequence: int) -> RetainedEvents:
        """Return the events above a sequence number.

        Args:
          sequence: The highest sequence number that the reader already has.
        """
        oldest = self.sequence - len(self.events) + 1
        skipped = max(0, sequence + 1 - oldest)
        dropped = max(0, oldest - sequence - 1)
        events = tuple(itertools.islice(self.events, skipped, None))
        return RetainedEvents(events, dropped)

    def follow(self) -> EventSubscription:
        """Return a subscription to all events recorded from now on."""
        event_subscription = EventSubscription(
            lambda: self.remove(event_subscription)
        )
        self.subscriptions.append(event_subscription)
        return event_subscription

    def remove(self, event_subscription: EventSubscription) -> None:
        """Remove a subscription.

        Args:
          event_subscription: The subscription; unknown ones are ignored.
        """
        if event_subscription in self.subscriptions:
            self.subscriptions.remove(event_subscription)

    def close(self) -> None:
        """End every subscription."""
        for event_subscription in list(self.subscriptions):
            event_subscription.close()


def detail_text(value: object) -> str:
    """Return a detail as text of bounded length.

    Args:
      value: The detail.
    """
    return str(value)[:MAX_DETAIL_CHARACTERS]
