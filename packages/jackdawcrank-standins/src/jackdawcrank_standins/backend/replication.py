"""How a server follows its group's primary."""

import asyncio
import enum
from typing import TYPE_CHECKING

from jackdawcrank_policy.values import Position
from jackdawcrank_standins.backend.errors import unknown_error
from jackdawcrank_standins.backend.replication_log import (
    LogEntry,
    ReplicationLog,
)

if TYPE_CHECKING:
    from jackdawcrank_standins.backend.server import BackendServer

APPLY_BATCH = 200


class Role(enum.StrEnum):
    """What a server is in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class Replication:
    """The log of one server and its place in the group.

    Attributes:
      server: The server.
      log: The entries that it holds and has applied.
      fence_term: The highest term that it was told.
      term: The term whose primary it was told; below the fence term while
        that primary is not yet known.
      start: The offset at which that term began.
      primary: The name of that primary.
      verified: Whether the log is known to be on that primary's branch.
      divergent: How many entries were removed as a divergent tail.
    """

    def __init__(self, server: "BackendServer") -> None:
        self.server = server
        self.log = ReplicationLog()
        self.fence_term = 0
        self.term = 0
        self.start_offset = 0
        self.primary: str | None = None
        self.verified = False
        self.divergent = 0
        self.changed = asyncio.Event()
        self.waiters: list[tuple[Position, asyncio.Future[bool]]] = []
        self.task: asyncio.Task[None] | None = None

    @property
    def role(self) -> Role:
        """Return what the server is in its group."""
        return Role.PRIMARY if self.writable else Role.REPLICA

    @property
    def writable(self) -> bool:
        """Return whether the server may commit writes."""
        informed = self.term == self.fence_term
        return informed and self.primary == self.server.name

    def start(self) -> None:
        """Begin to follow the primary."""
        self.task = asyncio.create_task(self.follow())

    async def close(self) -> None:
        """Stop following; waits for positions end without success."""
        task, self.task = self.task, None
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    def fence(self, term: int) -> None:
        """Raise the fence term.

        Raises:
          Failure: The term is below the present one.
        """
        if term < self.fence_term:
            raise unknown_error(f"fence_too_low: it is {self.fence_term}")
        if term == self.fence_term:
            return
        self.fence_term = term
        self.server.abort_writer()
        self.wake()

    def announce(self, term: int, offset: int, primary: str) -> None:
        """Take notice of a term's primary.

        Args:
          term: The term; it has to be the fence term.
          offset: The offset at which the term began.
          primary: The primary's name.

        Raises:
          Failure: The notice is refused.
        """
        if term != self.fence_term:
            raise unknown_error(f"fence_mismatch: it is {self.fence_term}")
        if (term, offset, primary) == (
            self.term,
            self.start_offset,
            self.primary,
        ):
            return
        if term == self.term:
            raise unknown_error(
                f"primary_mismatch: term {term} belongs to {self.primary}"
            )
        if primary == self.server.name:
            self.require_end(offset)
        self.term, self.start_offset, self.primary = term, offset, primary
        self.verified = primary == self.server.name
        if not self.verified:
            self.truncate(self.log.kept_length(term, offset))
        self.wake()

    def require_end(self, offset: int) -> None:
        """Refuse to lead a term that does not begin at the log's end."""
        if self.log.end.offset != offset:
            raise unknown_error(
                f"log_position_mismatch: the log ends at {self.log.end}"
            )

    def truncate(self, length: int) -> None:
        """Remove a divergent tail from log and data."""
        removed = len(self.log.entries) - length
        if removed <= 0:
            self.server.database.drop_working()
            return
        self.divergent += removed
        self.log.truncate(length)
        self.server.database.rebuild(self.log.entries)

    def next_position(self) -> Position:
        """Return the position of the primary's next entry."""
        return Position(self.term, self.log.end.offset + 1)

    def append(self, entry: LogEntry) -> None:
        """Add an entry whose effect the data already has."""
        self.log.append(entry)
        self.settle_waiters()
        self.server.group.wake_all()

    def wake(self) -> None:
        """Make the server look again at what it can pull."""
        self.changed.set()

    def source(self) -> "Replication | None":
        """Return the primary to pull from, if it can be reached now."""
        if self.term != self.fence_term or self.primary is None:
            return None
        if self.primary == self.server.name:
            return None
        primary = self.server.group.reachable(self.server, self.primary)
        if primary is None or primary.replication.term != self.term:
            return None
        return primary.replication

    def caught_up(self) -> bool:
        """Return whether the server has all that its primary has now.

        A replica that cannot reach its primary does not know, and says no.
        """
        if self.writable:
            return True
        source = self.source()
        if source is None or not self.verified:
            return False
        return source.log.end == self.log.end

    async def follow(self) -> None:
        """Apply the primary's entries as they become due."""
        try:
            await self.follow_on()
        except Exception as error:
            self.server.note_broken(error)
            raise

    async def follow_on(self) -> None:
        """Apply due entries until cancelled."""
        while True:
            self.changed.clear()
            delay = self.pull()
            if delay == 0:
                await asyncio.sleep(0)
                continue
            try:
                async with asyncio.timeout(delay):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def pull(self) -> float | None:
        """Apply the entries that are due now.

        Returns:
          The seconds until the next entry is due; None if there is none.
        """
        source = self.source()
        if source is None or self.server.paused:
            return None
        if not self.verified:
            self.truncate(self.log.common_length(source.log))
            self.verified = True
        now = asyncio.get_running_loop().time()
        for _ in range(APPLY_BATCH):
            offset = len(self.log.entries)
            if offset >= len(source.log.entries):
                return None
            entry = source.log.entries[offset]
            due = entry.committed_at + self.server.lag_seconds
            if due > now:
                return due - now
            self.apply(entry)
        return 0

    def apply(self, entry: LogEntry) -> None:
        """Apply one entry of the primary."""
        self.server.database.apply(entry)
        self.log.append(entry)
        self.settle_waiters()

    async def wait_for(self, position: Position, seconds: float) -> bool:
        """Return whether a position gets applied within some seconds."""
        held = self.log.holds(position)
        if held is not None:
            return held
        future = asyncio.get_running_loop().create_future()
        waiter = (position, future)
        self.waiters.append(waiter)
        try:
            async with asyncio.timeout(seconds):
                return await future
        except TimeoutError:
            return False
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)

    def settle_waiters(self) -> None:
        """Answer the waits that are decided now."""
        if not self.waiters:
            return
        remaining = []
        for position, future in self.waiters:
            held = self.log.holds(position)
            if held is None:
                remaining.append((position, future))
            elif not future.done():
                future.set_result(held)
        self.waiters = remaining
