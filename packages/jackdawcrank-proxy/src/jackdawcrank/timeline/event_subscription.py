"""A live reader of the time line."""

import asyncio
import collections.abc

from jackdawcrank_wire.events import TimelineEvent

QUEUE_LENGTH = 1000


class EventSubscription:
    """Receives each event as it is recorded.

    A follower that reads too slowly loses the oldest events that wait for
    it; gaps in the sequence numbers show it.
    """

    def __init__(self, unsubscribe: collections.abc.Callable[[], None]) -> None:
        self.queue: asyncio.Queue[TimelineEvent | None]
        self.queue = asyncio.Queue(QUEUE_LENGTH)
        self.unsubscribe = unsubscribe

    def enqueue(self, event: TimelineEvent | None) -> None:
        """Add an event, at the cost of the oldest if the queue is full.

        Args:
          event: The event; None ends the follower.
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
        """Receive no further event."""
        self.unsubscribe()
        self.enqueue(None)
