"""Subscription to the events of a timeline."""

import asyncio
import collections.abc

from jackdawcrank_wire.events import TimelineEvent

QUEUE_LENGTH = 1000


class EventSubscription:
    """Receives each event as it is recorded.

    The queue is bounded: if the subscriber reads too slowly, the oldest
    queued events are dropped, which leaves gaps in the sequence numbers.
    """

    def __init__(self, unsubscribe: collections.abc.Callable[[], None]) -> None:
        self.queue: asyncio.Queue[TimelineEvent | None]
        self.queue = asyncio.Queue(QUEUE_LENGTH)
        self.unsubscribe = unsubscribe

    def enqueue(self, event: TimelineEvent | None) -> None:
        """Add an event; drop the oldest one if the queue is full.

        Args:
          event: The event; None ends the subscription.
        """
        if self.queue.full():
            self.queue.get_nowait()
        self.queue.put_nowait(event)

    def __aiter__(self) -> "EventSubscription":
        return self

    async def __anext__(self) -> TimelineEvent:
        event = await self.queue.get()
        if event is None:
            raise StopAsyncIteration
        return event

    def close(self) -> None:
        """Stop receiving events."""
        self.unsubscribe()
        self.enqueue(None)
