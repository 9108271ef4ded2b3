"""A backend server reduced to its term, its role and its log."""

import attrs

from jackdawcrank_policy.values import Position, ServerReport, ServerRole
from jackdawcrank_standins.history.records import LogEntry


@attrs.define(eq=False)
class ModelServer:
    """Keeps the contract of a backend server on terms and log positions.

    Attributes:
      name: The server's name.
      term: The highest fence term.
      fenced: Whether commits are refused until a primary is announced.
      role: The role that it believes it has.
      primary: The primary that it pulls from or is.
      log: Its log.
      dropped: Entries that it removed as not on the branch.
    """

    name: str
    term: int = 0
    fenced: bool = False
    role: ServerRole = ServerRole.REPLICA
    primary: str = ""
    log: list[LogEntry] = attrs.field(factory=list)
    dropped: list[LogEntry] = attrs.field(factory=list)

    @property
    def position(self) -> Position:
        """Return the position of the last entry."""
        return self.log[-1].position if self.log else Position(0, 0)

    def report(self) -> ServerReport:
        """Return the answer to a probe."""
        return ServerReport(self.name, self.term, self.role, self.position)

    def fence(self, term: int) -> bool:
        """Raise the fence; return whether the term was accepted."""
        if term < self.term:
            return False
        if term > self.term:
            self.term = term
            self.fenced = True
        return True

    def announce(self, term: int, offset: int, primary: str) -> bool:
        """Take the primary of a term; return whether it was accepted."""
        if term != self.term:
            return False
        if primary == self.name:
            return self.become_primary(offset)
        kept = self.log[:offset]
        tail = self.log[offset:]
        self.dropped += [
            log_entry for log_entry in tail if log_entry.position.term != term
        ]
        self.log = kept + [
            log_entry for log_entry in tail if log_entry.position.term == term
        ]
        self.role = ServerRole.REPLICA
        self.primary = primary
        self.fenced = False
        return True

    def become_primary(self, offset: int) -> bool:
        """Become primary if the log ends where the term begins."""
        if self.role is ServerRole.PRIMARY and not self.fenced:
            return True
        if len(self.log) != offset:
            return False
        self.role = ServerRole.PRIMARY
        self.primary = self.name
        self.fenced = False
        return True

    def commit(self, write_id: str) -> Position | None:
        """Commit a write; return its position, or None if it is refused.

        A write that the log already holds is found by its request record.
        """
        if self.fenced or self.role is not ServerRole.PRIMARY:
            return None
        position = self.find(write_id)
        if position is None:
            position = Position(self.term, len(self.log) + 1)
            self.log.append(LogEntry(position, write_id))
        return position

    def find(self, write_id: str) -> Position | None:
        """Return the position of a write, if the log holds it."""
        for entry in reversed(self.log):
            if entry.write_id == write_id:
                return entry.position
        return None

    def pull(self, source: "ModelServer", limit: int = 1000) -> None:
        """Copy the entries that the primary has and this server lacks."""
        if self.fenced or self.role is not ServerRole.REPLICA:
            return
        if source.name != self.primary:
            return
        end = len(self.log)
        if end and source.log[end - 1 : end] != self.log[-1:]:
            return
        self.log += source.log[end : end + limit]

    def confirm(self, position: Position) -> int | None:
        """Return the fence term if the log holds a position, else None."""
        index = position.offset - 1
        entries = self.log[index : index + 1]
        if entries and entries[0].position == position:
            return self.term
        return None
