"""An in-memory model of a backend server: its term, role and log."""

import attrs

from jackdawcrank_policy.values import Position, ServerReport, ServerRole
from jackdawcrank_standins.history.records import LogEntry


@attrs.define(eq=False)
class ModelServer:
    """Models how a backend server handles terms and log positions.

    Attributes:
      name: The server's name.
      term: The highest term that the server was fenced with.
      fenced: Whether commits are refused until the primary of the term is
        announced.
      role: The role that the server reports, which may be outdated.
      primary: The name of the primary that the server replicates from; its
        own name if it is the primary.
      log: The committed entries, in order of position.
      dropped: Entries that were rolled back because they are not on the
        branch of the current term.
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
        """Return the position of the last entry, or 0:0 if there is none."""
        return self.log[-1].position if self.log else Position(0, 0)

    def report(self) -> ServerReport:
        """Return the answer to a probe."""
        return ServerReport(self.name, self.term, self.role, self.position)

    def fence(self, term: int) -> bool:
        """Fence the server with a term; return whether it was accepted."""
        if term < self.term:
            return False
        if term > self.term:
            self.term = term
            self.fenced = True
        return True

    def announce(self, term: int, offset: int, primary: str) -> bool:
        """Set the primary of a term; return whether it was accepted."""
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
        """Become primary if the log ends at the start offset of the term."""
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

        A write that is already in the log is not applied again; its existing
        position is returned.
        """
        if self.fenced or self.role is not ServerRole.PRIMARY:
            return None
        position = self.find(write_id)
        if position is None:
            position = Position(self.term, len(self.log) + 1)
            self.log.append(LogEntry(position, write_id))
        return position

    def find(self, write_id: str) -> Position | None:
        """Return the position of a write, or None if it is not in the log."""
        for entry in reversed(self.log):
            if entry.write_id == write_id:
                return entry.position
        return None

    def pull(self, source: "ModelServer", limit: int = 1000) -> None:
        """Copy entries that are missing here from the log of the primary.

        Copies nothing if the last entry differs from the entry of the primary
        at the same offset.

        Args:
          source: The server to copy from; ignored unless it is the primary.
          limit: The maximum number of entries to copy.
        """
        if self.fenced or self.role is not ServerRole.REPLICA:
            return
        if source.name != self.primary:
            return
        end = len(self.log)
        if end and source.log[end - 1 : end] != self.log[-1:]:
            return
        self.log += source.log[end : end + limit]

    def confirm(self, position: Position) -> int | None:
        """Return the fence term if a position is in the log, else None."""
        index = position.offset - 1
        entries = self.log[index : index + 1]
        if entries and entries[0].position == position:
            return self.term
        return None
