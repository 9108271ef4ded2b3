"""Interface of a connection to a backend server."""

import asyncio
import collections.abc
import enum
import typing

import attrs

from jackdawcrank.seams.commands import Command
from jackdawcrank.seams.replies import Reply, ServerStatus, SessionState
from jackdawcrank_policy.catalog import ListedServer
from jackdawcrank_policy.sessions import ConnectionContext
from jackdawcrank_policy.values.position import Position


class ConnectionLostError(Exception):
    """The connection was closed before the reply was complete."""


class OpenFailure(enum.Enum):
    """Reason why a connection could not be opened."""

    REFUSED = "refused"
    """The host refused the connection or closed it."""
    SILENT = "silent"
    """There was no answer within the timeout."""
    WRONG_SERVER = "wrong_server"
    """Another server uses the address now."""
    FULL = "full"
    """The server is at its connection limit or has a full queue."""


@attrs.frozen
class NotOpened:
    """The connection could not be opened.

    Attributes:
      failure: The reason.
      detail: A description of the failure.
    """

    failure: OpenFailure
    detail: str = ""


class ServerConnection(typing.Protocol):
    """A connection to one backend server.

    Attributes:
      context: The session state that is set on this connection.
      closed: Whether the connection can no longer be used.
      state: The transaction state, as of the server's last reply.
      first_position: The log position that the server reported on connecting.
      on_closed: Called once after the connection has been closed.
      account: The client account whose statements it may run; empty for the
        statements of callers without an account.
    """

    context: ConnectionContext
    closed: bool
    state: SessionState
    first_position: Position | None
    on_closed: collections.abc.Callable[[], None] | None
    account: str

    def send(
        self, commands: collections.abc.Sequence[Command]
    ) -> list[asyncio.Future[Reply]]:
        """Send commands as one batch; return futures of their replies, in order.

        A future fails with `ConnectionLostError` if the connection closes before the
        reply is complete.

        Args:
          commands: The commands, which the server runs in this order.
        """

    def status_of(self, reply: Reply) -> ServerStatus | None:
        """Return the status in a reply; None if it cannot be decoded.

        Args:
          reply: The reply to a `QueryStatus` command.
        """

    def close(self) -> None:
        """Abort the connection; the server rolls back an open transaction."""


class ConnectionOpener(typing.Protocol):
    """Opens connections to backend servers."""

    async def open(
        self, server: ListedServer, timeout_seconds: float, account: str = ""
    ) -> ServerConnection | NotOpened:
        """Connect to a server and verify its identity.

        Args:
          server: The server.
          timeout_seconds: The time limit for connecting and verifying.
          account: The client account that will use the connection; empty for
            none.
        """
