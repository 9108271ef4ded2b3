"""What running a statement needs to know of its session."""

import typing

from jackdawcrank_policy.catalog import DatabaseSpec
from jackdawcrank_policy.sessions import SessionContext
from jackdawcrank_policy.values.position import Position

if typing.TYPE_CHECKING:
    from jackdawcrank.relay.group_relay import GroupRelay


class SessionView(typing.Protocol):
    """A caller's session, here or on another proxy.

    Attributes:
      database: The database that it named.
      context: Its session values and prepared names.
      last_position: The newest commit that it was told of.
      read_only: Whether its transaction may not write.
      spec: The database's declaration.
      group: The group that serves it.
    """

    database: str
    context: SessionContext
    last_position: Position | None
    read_only: bool
    spec: DatabaseSpec | None
    group: "GroupRelay | None"

    def record_position(self, position: Position | None) -> None:
        """Take in the position of a commit of this session.

        Args:
          position: The position; None if the server told none.
        """
