"""What a proxy asks of a backend server besides callers' statements."""

from typing import Protocol

import attrs

from jackdawcrank_policy.values import Position, ServerReport


@attrs.frozen
class Unreachable:
    """The server gave no usable answer in time.

    Attributes:
      detail: A sentence for people.
    """

    detail: str


@attrs.frozen
class Refused:
    """The server answered and refused.

    Attributes:
      code: The MySQL error code.
      detail: The server's message.
    """

    code: int
    detail: str


@attrs.frozen
class Accepted:
    """The server did as asked."""


class ServerControl(Protocol):
    """One backend server, as seen by coordination and routing.

    Every method answers within its timeout; a failure is a value.
    """

    name: str

    async def probe(self, timeout_seconds: float) -> ServerReport | Unreachable:
        """Ask for term, role and position."""

    async def fence(
        self, term: int, timeout_seconds: float
    ) -> Accepted | Refused | Unreachable:
        """Raise the server's fence to a term."""

    async def announce_primary(
        self, term: int, offset: int, primary: str, timeout_seconds: float
    ) -> Accepted | Refused | Unreachable:
        """Tell the server who leads a term and where the term began."""

    async def confirm(
        self, position: Position, timeout_seconds: float
    ) -> int | None:
        """Return the server's term once it holds a position, else None."""
