"""A transaction on a backend server."""

import attrs

from jackdawcrank_standins.backend.executed_statement import ExecutedStatement
from jackdawcrank_standins.backend.replication_log import LoggedStatement


@attrs.define(eq=False)
class Transaction:
    """What an open transaction has done.

    Attributes:
      number: The transaction's number on its server.
      fence_term: The server's fence term when it began.
      holds_lock: Whether it is the one that may write.
      aborted: Whether the server has rolled it back on its own.
      affected_rows: How many rows it has changed.
      changes_schema: Whether it changed tables or indexes.
      statements: The writes to replay on replicas.
      executed: The records of its statements.
      savepoints: How many writes each savepoint follows.
    """

    number: int
    fence_term: int
    holds_lock: bool = False
    aborted: bool = False
    affected_rows: int = 0
    changes_schema: bool = False
    statements: list[LoggedStatement] = attrs.field(factory=list)
    executed: list[ExecutedStatement] = attrs.field(factory=list)
    savepoints: dict[str, int] = attrs.field(factory=dict)

    @property
    def wrote(self) -> bool:
        """Return whether a commit adds an entry to the log."""
        return self.changes_schema or self.affected_rows > 0
