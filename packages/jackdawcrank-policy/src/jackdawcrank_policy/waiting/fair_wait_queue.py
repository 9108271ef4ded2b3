"""A queue ordered by priority, then fairly by account, then by arrival."""

import collections
import heapq
import itertools
import typing
from collections.abc import Callable, Iterator

import attrs

T = typing.TypeVar("T")


@attrs.define(eq=False)
class FairWaitEntry(typing.Generic[T]):
    """One entry of a queue.

    Attributes:
      priority: Lower values are served first; new work starts at 0.
      deadline: When the entry expires, in seconds on a monotonic clock.
      account: The client account; empty for none.
      number: Arrival number, which orders the entries of an account.
      item: The waiting item.
      removed: Whether the entry has been cancelled, served or cleared.
    """

    priority: int
    deadline: float
    account: str
    number: int
    item: T
    removed: bool = False


@attrs.define(eq=False)
class AccountEntries(typing.Generic[T]):
    """The entries of one account in one priority.

    Attributes:
      turn: The virtual time at which its first entry is due.
      order: Orders accounts that are due at the same virtual time.
      entries: The waiting entries by arrival number, the oldest first.
    """

    turn: int
    order: int
    entries: collections.OrderedDict[int, FairWaitEntry[T]] = attrs.Factory(
        collections.OrderedDict
    )


@attrs.define(eq=False)
class PriorityLevel(typing.Generic[T]):
    """The entries of one priority.

    All weights are equal, so virtual time advances by 1 per entry of an
    account. Each account is due at the current virtual time or one later.

    Attributes:
      accounts: The accounts that wait, and those that were served in advance
        of the current virtual time.
      virtual_time: The virtual time of the entry that was served last.
    """

    accounts: dict[str, AccountEntries[T]] = attrs.Factory(dict)
    virtual_time: int = 0

    def waiting_count(self) -> int:
        """Return the number of waiting entries."""
        return sum(len(one.entries) for one in self.accounts.values())

    def first_account(self) -> AccountEntries[T] | None:
        """Return the account that is due next, or None if none waits."""
        return min(
            (one for one in self.accounts.values() if one.entries),
            key=lambda one: (one.turn, one.order),
            default=None,
        )

    def forget_idle(self) -> None:
        """Remove accounts that neither wait nor are ahead of virtual time."""
        for name, one in [*self.accounts.items()]:
            if not one.entries and one.turn <= self.virtual_time:
                del self.accounts[name]


@attrs.define
class FairWaitQueue(typing.Generic[T]):
    """Statements that wait for a connection or a send slot of one server.

    Entries of higher priority are served first. Within a priority, accounts
    take turns, and the entries of an account are served in order of arrival.
    With one account or none, the order is that of `PriorityWaitQueue`.

    Starvation bound: between two entries of an account that waits, and before
    its first one, `pop` serves at most one entry of each other account of the
    same priority. `serve` may take entries out of turn; an account that is
    served so is due one turn later than the others, never more.

    The state is bounded by the accounts that wait and those that were served
    in the current turn; it is dropped when no entry of the priority waits.

    Attributes:
      levels: The entries by priority.
      numbers: The source of arrival numbers and of the order of accounts.
      length: Number of entries that are still waiting.
    """

    levels: dict[int, PriorityLevel[T]] = attrs.Factory(dict)
    numbers: Iterator[int] = attrs.Factory(itertools.count)
    length: int = 0

    def enqueue(
        self, priority: int, deadline: float, item: T, account: str = ""
    ) -> FairWaitEntry[T]:
        """Add an item behind all others of its priority and account.

        Args:
          priority: Lower values are served first.
          deadline: When the entry expires, in seconds on a monotonic clock.
          item: The waiting item.
          account: The client account; empty for none.
        """
        entry = FairWaitEntry(
            priority, deadline, account, next(self.numbers), item
        )
        level = self.levels.setdefault(priority, PriorityLevel())
        waiting = level.accounts.get(account)
        if waiting is None:
            waiting = AccountEntries(level.virtual_time, entry.number)
            level.accounts[account] = waiting
        waiting.entries[entry.number] = entry
        self.length += 1
        return entry

    def ahead_of(self, priority: int, account: str = "") -> int:
        """Return how many entries would be served before a new one.

        Args:
          priority: The priority of the new entry.
          account: The client account of the new entry.
        """
        ahead = sum(
            level.waiting_count()
            for number, level in self.levels.items()
            if number < priority
        )
        level = self.levels.get(priority)
        if level is None:
            return ahead
        own = level.accounts.get(account) or AccountEntries(
            level.virtual_time, next(self.numbers)
        )
        own_count = len(own.entries)
        for one in level.accounts.values():
            if one is own:
                continue
            # An account that is due later has its place of that turn already.
            first_in_turn = one.turn > own.turn or (
                one.turn == own.turn and one.order < own.order
            )
            turns = own.turn + own_count - one.turn + first_in_turn
            ahead += min(len(one.entries), max(0, turns))
        return ahead + own_count

    def has_accounts(self) -> bool:
        """Return whether an entry of a client account waits."""
        return any(
            name and one.entries
            for level in self.levels.values()
            for name, one in level.accounts.items()
        )

    def waiting_accounts(self) -> set[str]:
        """Return the accounts of all waiting entries."""
        return {
            name
            for level in self.levels.values()
            for name, one in level.accounts.items()
            if one.entries
        }

    def entries(self, priority: int) -> Iterator[FairWaitEntry[T]]:
        """Yield the entries of a priority and those of higher ones, unordered.

        The queue must not be changed until the last entry has been taken.

        Args:
          priority: The priority.
        """
        for number, level in self.levels.items():
            if number <= priority:
                for one in level.accounts.values():
                    yield from one.entries.values()

    def in_order(self, now: float) -> Iterator[FairWaitEntry[T]]:
        """Yield the entries that have not expired in the order of service.

        The queue must not be changed until the last entry has been taken.

        Args:
          now: The current time in seconds.
        """
        for priority in sorted(self.levels):
            orders = itertools.count()
            turns = [
                (one.turn, 0, one.order, iter(one.entries.values()))
                for one in self.levels[priority].accounts.values()
                if one.entries
            ]
            heapq.heapify(turns)
            while turns:
                turn, _, _, entries = heapq.heappop(turns)
                entry = next(
                    (one for one in entries if one.deadline > now), None
                )
                if entry is not None:
                    heapq.heappush(turns, (turn + 1, 1, next(orders), entries))
                    yield entry

    def head(self, now: float) -> FairWaitEntry[T] | None:
        """Return the entry that `pop` would return, without removing it.

        Args:
          now: The current time in seconds.
        """
        while self.levels:
            first = self.levels[min(self.levels)].first_account()
            if first is None:
                raise RuntimeError("a priority without entries was kept")
            entry = next(iter(first.entries.values()))
            if entry.deadline > now:
                return entry
            self.cancel(entry)
        return None

    def head_of(
        self,
        account: str,
        now: float,
        may_serve: Callable[[T], bool] = lambda _item: True,
    ) -> FairWaitEntry[T] | None:
        """Return an account's entry that is served next, or None.

        Args:
          account: The client account.
          now: The current time in seconds.
          may_serve: Whether an item may be served now.
        """
        for priority in sorted(self.levels):
            own = self.levels[priority].accounts.get(account)
            for entry in own.entries.values() if own else ():
                if entry.deadline > now and may_serve(entry.item):
                    return entry
        return None

    def pop(self, now: float) -> FairWaitEntry[T] | None:
        """Remove and return the next entry that has not expired, or None.

        Args:
          now: The current time in seconds.
        """
        entry = self.head(now)
        if entry is not None:
            self.serve(entry)
        return entry

    def serve(self, entry: FairWaitEntry[T]) -> None:
        """Remove an entry that is served, possibly out of turn.

        Args:
          entry: The entry; it must be waiting.
        """
        level = self.levels[entry.priority]
        own = level.accounts[entry.account]
        if own is level.first_account():
            level.virtual_time = own.turn
        own.turn = level.virtual_time + 1
        own.order = next(self.numbers)
        self.cancel(entry)

    def cancel(self, entry: FairWaitEntry[T]) -> None:
        """Remove an entry from the queue; does nothing if it is removed.

        Args:
          entry: The entry to remove.
        """
        if entry.removed:
            return
        entry.removed = True
        self.length -= 1
        level = self.levels[entry.priority]
        del level.accounts[entry.account].entries[entry.number]
        if level.waiting_count():
            level.forget_idle()
        else:
            del self.levels[entry.priority]

    def clear(self) -> list[T]:
        """Remove all entries and return the items that were waiting."""
        entries = [
            entry
            for level in self.levels.values()
            for one in level.accounts.values()
            for entry in one.entries.values()
        ]
        for entry in entries:
            entry.removed = True
        self.levels.clear()
        self.length = 0
        return [entry.item for entry in entries]
