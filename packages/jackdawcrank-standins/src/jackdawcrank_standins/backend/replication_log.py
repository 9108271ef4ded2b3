"""The log of committed transactions that replicas follow."""

import attrs

from jackdawcrank_policy.values import Position
from jackdawcrank_standins.backend.literals import Value
from jackdawcrank_standins.backend.statement_context import StatementContext


@attrs.frozen
class LoggedStatement:
    """A write as it ran on the primary.

    Attributes:
      sql: The SQLite statement.
      values: The values of its parameters.
      context: What else its result depends on.
    """

    sql: str
    values: tuple[Value, ...]
    context: StatementContext


@attrs.frozen
class LogEntry:
    """One committed transaction.

    Attributes:
      position: The entry's place in the log.
      statements: The transaction's writes in their order.
      committed_at: When it was committed, seconds on the loop's clock.
      changes_schema: Whether it changes tables or indexes.
    """

    position: Position
    statements: tuple[LoggedStatement, ...]
    committed_at: float
    changes_schema: bool = False


@attrs.define
class ReplicationLog:
    """The entries that one server holds.

    Attributes:
      entries: The entries from offset 1 on.
    """

    entries: list[LogEntry] = attrs.field(factory=list)

    @property
    def end(self) -> Position:
        """Return the position of the last entry."""
        return self.entries[-1].position if self.entries else Position(0, 0)

    def append(self, entry: LogEntry) -> None:
        """Add the next entry.

        Raises:
          ValueError: The entry does not follow the last one.
        """
        if entry.position.offset != len(self.entries) + 1:
            raise ValueError(f"{entry.position} does not follow {self.end}")
        self.entries.append(entry)

    def holds(self, position: Position) -> bool | None:
        """Return whether a position is in the log; None if not yet known.

        Args:
          position: The position that is looked for.
        """
        if position.offset == 0:
            return True
        if position.offset > len(self.entries):
            return None
        return self.entries[position.offset - 1].position == position

    def common_length(self, other: "ReplicationLog") -> int:
        """Return how many entries from the start two logs share.

        One primary writes each term's entries, so that two logs that agree
        on one entry's position agree on all entries before it.
        """
        length = min(len(self.entries), len(other.entries))
        while length > 0 and not self.same_at(other, length):
            length -= 1
        return length

    def same_at(self, other: "ReplicationLog", offset: int) -> bool:
        """Return whether two logs hold the same entry at an offset."""
        mine = self.entries[offset - 1].position
        return mine == other.entries[offset - 1].position

    def kept_length(self, term: int, offset: int) -> int:
        """Return how many entries a new term's branch may keep.

        Args:
          term: The new term.
          offset: The offset at which the term began.
        """
        length = len(self.entries)
        while length > offset and (
            self.entries[length - 1].position.term < term
        ):
            length -= 1
        return length

    def truncate(self, length: int) -> None:
        """Remove the entries after the first `length` ones."""
        del self.entries[length:]
