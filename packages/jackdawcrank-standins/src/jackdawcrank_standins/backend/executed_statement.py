"""The record of a statement that ran."""

import enum

import attrs

from jackdawcrank_policy.values import Position


class Fate(enum.StrEnum):
    """What became of a statement's transaction."""

    OPEN = "open"
    COMMITTED = "committed"
    ROLLED_BACK = "rolled_back"


@attrs.define
class ExecutedStatement:
    """A statement that ran on a backend server.

    Attributes:
      time: When it ran, seconds on the loop's clock.
      connection_id: The connection that sent it.
      transaction: The number of its transaction on this server.
      sql: Its text as received.
      term: The server's fence term.
      writes: Whether it is a write.
      on_primary: Whether the server led its group.
      fate: What became of its transaction.
      position: The position of the transaction's log entry, once committed.
    """

    time: float
    connection_id: int
    transaction: int
    sql: str
    term: int
    writes: bool
    on_primary: bool
    fate: Fate = Fate.OPEN
    position: Position | None = None
