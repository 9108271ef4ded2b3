"""The interface of a connection to a backend server."""

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


class LinkLostError(Exception):
    """The connection ended before the answer was whole."""


class OpenFailure(enum.Enum):
    """Why no connection was made."""

    REFUSED = "refused"
    """The host answered that nobody listens, or cut the connection."""
    SILENT = "silent"
    """Nothing answered in time."""
    WRONG_SERVER = "wrong_server"
    """Another server listens there now."""
    FULL = "full"
    """The server has as many connections as it takes."""


@attrs.frozen
class NotOpened:
    """No connection was made.

    Attributes:
      failure: Why.
      detail: A sentence about it.
    """

    failure: OpenFailure
    detail: str = ""


class ServerLink(typing.Protocol):
    """A connection to one backend server.

    Attributes:
      context: What the connection holds of the sessions that used it.
      closed: Whether it can be used no more.
      state: Where the connection stands, by the server's last answer.
      first_position: The position that the server told on connecting.
      on_closed: Called once when the connection has ended.
    """

    context: ConnectionContext
    closed: bool
    state: SessionState
    first_position: Position | None
    on_closed: collections.abc.Callable[[], None] | None

    def send(
        self, commands: collections.abc.Sequence[Command]
    ) -> list[asyncio.Future[Reply]]:
        """Send commands together; return the replies to come, in order.

        A reply's future fails with `LinkLostError` if the link ends first.

        Args:
          commands: The commands; the server runs them one after the other.
        """

    def status_of(self, reply: Reply) -> ServerStatus | None:
        """Return what a reply to a status question says, or None.

        Args:
          reply: The reply to a command that answers with a status.
        """

    def close(self) -> None:
        """End the connection at once; the server rolls back what is open."""


class LinkOpener(typing.Protocol):
    """Connects to backend servers."""

    async def open(
        self, server: ListedServer, timeout_seconds: float
    ) -> ServerLink | NotOpened:
        """Connect to a server, and only to that one.

        Args:
          server: The server.
          timeout_seconds: The longest time until it is ready.
        """
