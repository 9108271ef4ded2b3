"""Interface for control of a backend server, apart from statements."""

from typing import Protocol

import attrs

from jackdawcrank_policy.values import Position, ServerReport


@attrs.frozen
class Unreachable:
    """The server gave no usable answer in time.

    Attributes:
      detail: A human-readable explanation.
    """

    detail: str


@attrs.frozen
class Refused:
    """The server answered with an error.

    Attributes:
      code: The MySQL error code.
      detail: The server's message.
    """

    code: int
    detail: str


@attrs.frozen
class Accepted:
    """The server executed the command."""


class ServerControl(Protocol):
    """One backend server from the view of coordination and routing.

    Every method returns within its timeout. Failures are returned as values,
    not raised.
    """

    name: str

    async def probe(self, timeout_seconds: float) -> ServerReport | Unreachable:
        """Read the server's term, role and position."""

    async def fence(
        self, term: int, timeout_seconds: float
    ) -> Accepted | Refused | Unreachable:
        """Raise the server's fence to a term."""

    async def announce_primary(
        self, term: int, offset: int, primary: str, timeout_seconds: float
    ) -> Accepted | Refused | Unreachable:
        """Announce a term's primary and start offset to the server."""

    async def confirm(
        self, position: Position, timeout_seconds: float
    ) -> int | None:
        """Return the server's term once it has reached a position.

        Returns None if it does not in time.
        """
