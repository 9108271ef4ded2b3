"""A line that serves the most urgent first."""

import heapq
import itertools
import typing

import attrs

T = typing.TypeVar("T")


@attrs.define(eq=False)
class WaitEntry(typing.Generic[T]):
    """One place in a line.

    Attributes:
      priority: 0 goes first.
      deadline: When waiting on is no use; seconds on a monotonic clock.
      number: Orders places of one priority by arrival.
      item: Who waits.
      removed: Whether the place was given up.
    """

    priority: int
    deadline: float
    number: int
    item: T
    removed: bool = False

    def __lt__(self, other: "WaitEntry[T]") -> bool:
        return (self.priority, self.number) < (other.priority, other.number)


@attrs.define
class PriorityWaitQueue(typing.Generic[T]):
    """Statements that wait for a connection of one server.

    Answers the load of a burst or of a slow server: the more urgent kind goes
    first, and whoever cannot be served in time is told at once.

    Attributes:
      heap: The places, those given up included until they come up.
      numbers: The source of arrival numbers.
      length: Places that are not given up.
    """

    heap: list[WaitEntry[T]] = attrs.Factory(list)
    numbers: typing.Iterator[int] = attrs.Factory(itertools.count)
    length: int = 0

    def enqueue(self, priority: int, deadline: float, item: T) -> WaitEntry[T]:
        """Take a place at the end of a priority.

        Args:
          priority: 0 goes first.
          deadline: When waiting on is no use, in seconds.
          item: Who waits.
        """
        entry = WaitEntry(priority, deadline, next(self.numbers), item)
        heapq.heappush(self.heap, entry)
        self.length += 1
        return entry

    def ahead_of(self, priority: int) -> int:
        """Return how many would be served before a newcomer.

        Args:
          priority: The newcomer's.
        """
        return sum(
            not entry.removed and entry.priority <= priority
            for entry in self.heap
        )

    def cancel(self, entry: WaitEntry[T]) -> None:
        """Give a place up.

        Args:
          entry: The place.
        """
        if not entry.removed:
            entry.removed = True
            self.length -= 1

    def pop(self, now: float) -> WaitEntry[T] | None:
        """Return who comes next and may still be served, or None.

        Args:
          now: The current time in seconds.
        """
        while self.heap:
            entry = heapq.heappop(self.heap)
            if entry.removed:
                continue
            entry.removed = True
            self.length -= 1
            if entry.deadline > now:
                return entry
        return None

    def clear(self) -> list[T]:
        """Empty the line and return everybody who waited."""
        items = [entry.item for entry in self.heap if not entry.removed]
        for entry in self.heap:
            entry.removed = True
        self.heap.clear()
        self.length = 0
        return items
