"""The interface of whatever accepts callers' connections."""

import typing

from jackdawcrank.relay.caller_session import CallerSession


class SessionFactory(typing.Protocol):
    """Makes a session for a caller that has connected."""

    async def open_session(self, database: str) -> CallerSession | None:
        """Return a session; None if the database is not declared.

        Args:
          database: What the caller named.
        """

    def readiness(self) -> bool:
        """Return whether new callers should be sent here."""


class CallerFrontend(typing.Protocol):
    """Accepts callers and carries their statements to sessions."""

    async def start(self, sessions: SessionFactory) -> None:
        """Begin to accept callers.

        Args:
          sessions: Makes their sessions.
        """

    def close_idle(self) -> None:
        """Close connections that have nothing under way."""

    def sessions(self) -> list[CallerSession]:
        """Return the sessions of all open connections."""

    async def close(self) -> None:
        """Stop accepting and close every connection."""
