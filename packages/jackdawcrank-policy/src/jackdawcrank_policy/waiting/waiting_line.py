"""A line that serves the most urgent first."""

import heapq
import itertools
import typing

import attrs

T = typing.TypeVar("T")


@attrs.define(eq=False)
class Place(typing.Generic[T]):
    """One place in a line.

    Attributes:
      priority: 0 goes first.
      deadline: When waiting on is no use; seconds on a monotonic clock.
      number: Orders places of one priority by arrival.
      item: Who waits.
      left: Whether the place was given up.
    """

    priority: int
    deadline: float
    number: int
    item: T
    left: bool = False

    def __lt__(self, other: "Place[T]") -> bool:
        return (self.priority, self.number) < (other.priority, other.number)


@attrs.define
class WaitingLine(typing.Generic[T]):
    """Statements that wait for a connection of one server.

    Answers the load of a burst or of a slow server: the more urgent kind goes
    first, and whoever cannot be served in time is told at once.

    Attributes:
      heap: The places, those given up included until they come up.
      numbers: The source of arrival numbers.
      length: Places that are not given up.
    """

    heap: list[Place[T]] = attrs.Factory(list)
    numbers: typing.Iterator[int] = attrs.Factory(itertools.count)
    length: int = 0

    def join(self, priority: int, deadline: float, item: T) -> Place[T]:
        """Take a place at the end of a priority.

        Args:
          priority: 0 goes first.
          deadline: When waiting on is no use, in seconds.
          item: Who waits.
        """
        place = Place(priority, deadline, next(self.numbers), item)
        heapq.heappush(self.heap, place)
        self.length += 1
        return place

    def ahead_of(self, priority: int) -> int:
        """Return how many would be served before a newcomer.

        Args:
          priority: The newcomer's.
        """
        return sum(
            not place.left and place.priority <= priority for place in self.heap
        )

    def leave(self, place: Place[T]) -> None:
        """Give a place up.

        Args:
          place: The place.
        """
        if not place.left:
            place.left = True
            self.length -= 1

    def pop(self, now: float) -> Place[T] | None:
        """Return who comes next and may still be served, or None.

        Args:
          now: The current time in seconds.
        """
        while self.heap:
            place = heapq.heappop(self.heap)
            if place.left:
                continue
            place.left = True
            self.length -= 1
            if place.deadline > now:
                return place
        return None

    def clear(self) -> list[T]:
        """Empty the line and return everybody who waited."""
        items = [place.item for place in self.heap if not place.left]
        for place in self.heap:
            place.left = True
        self.heap.clear()
        self.length = 0
        return items
