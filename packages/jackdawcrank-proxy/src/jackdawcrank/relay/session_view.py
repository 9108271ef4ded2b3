"""The interface of a session to the code that runs its statements."""

import typing

from jackdawcrank_policy.catalog import DatabaseSpec
from jackdawcrank_policy.sessions import SessionContext
from jackdawcrank_policy.values.position import Position

if typing.TYPE_CHECKING:
    from jackdawcrank.relay.group_relay import GroupRelay


class SessionView(typing.Protocol):
    """A caller's session on this proxy or on another one.

    Attributes:
      database: The database that the caller named.
      context: Session values and prepared statements.
      last_position: The newest commit position returned to the caller.
      read_only: Whether the open transaction is read-only.
      spec: The declaration of the database, or None if it is not resolved.
      group: The database group, or None if it is not resolved.
      account: The client account of the caller; empty if it has none.
    """

    database: str
    context: SessionContext
    last_position: Position | None
    read_only: bool
    spec: DatabaseSpec | None
    group: "GroupRelay | None"
    account: str

    def record_position(self, position: Position | None) -> None:
        """Advance the last position of this session.

        Args:
          position: The commit position, or None if the server sent none.
        """
