"""A queue that is ordered by priority, then by arrival."""

import heapq
import itertools
import typing

import attrs

T = typing.TypeVar("T")


@attrs.define(eq=False)
class WaitEntry(typing.Generic[T]):
    """One entry of a queue.

    Attributes:
      priority: Lower values are served first; new work starts at 0.
      deadline: When the entry expires, in seconds on a monotonic clock.
      number: Arrival number, which orders entries of equal priority.
      item: The waiting item.
      removed: Whether the entry has been cancelled, served or cleared.
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

    During a burst or with a slow server, statements of higher priority are
    served first and expired ones are skipped.

    Attributes:
      heap: The entries, including cancelled ones until they reach the top.
      numbers: The source of arrival numbers.
      length: Number of entries that are still waiting.
    """

    heap: list[WaitEntry[T]] = attrs.Factory(list)
    numbers: typing.Iterator[int] = attrs.Factory(itertools.count)
    length: int = 0

    def enqueue(self, priority: int, deadline: float, item: T) -> WaitEntry[T]:
        """Add an item behind all others of its priority.

        Args:
          priority: Lower values are served first.
          deadline: When the entry expires, in seconds on a monotonic clock.
          item: The waiting item.
        """
        entry = WaitEntry(priority, deadline, next(self.numbers), item)
        heapq.heappush(self.heap, entry)
        self.length += 1
        return entry

    def ahead_of(self, priority: int) -> int:
        """Return how many entries would be served before a new one.

        Args:
          priority: The priority of the new entry.
        """
        return sum(
            not entry.removed and entry.priority <= priority
            for entry in self.heap
        )

    def cancel(self, entry: WaitEntry[T]) -> None:
        """Remove an entry from the queue; does nothing if it is removed.

        Args:
          entry: The entry to remove.
        """
        if not entry.removed:
            entry.removed = True
            self.length -= 1

    def head(self, now: float) -> WaitEntry[T] | None:
        """Return the entry that `pop` would return, without removing it.

        Args:
          now: The current time in seconds.
        """
        while self.heap:
            entry = self.heap[0]
            if not entry.removed and entry.deadline > now:
                return entry
            heapq.heappop(self.heap)
            self.cancel(entry)
        return None

    def pop(self, now: float) -> WaitEntry[T] | None:
        """Remove and return the next entry that has not expired, or None.

        Args:
          now: The current time in seconds.
        """
        entry = self.head(now)
        if entry is not None:
            heapq.heappop(self.heap)
            self.cancel(entry)
        return entry

    def clear(self) -> list[T]:
        """Remove all entries and return the items that were waiting."""
        items = [entry.item for entry in self.heap if not entry.removed]
        for entry in self.heap:
            entry.removed = True
        self.heap.clear()
        self.length = 0
        return items
