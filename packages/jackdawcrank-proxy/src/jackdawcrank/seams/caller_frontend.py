"""Interface of the component that accepts callers' connections."""

import typing

from jackdawcrank.relay.caller_session import CallerSession
from jackdawcrank.seams.replies import Reply


class SessionFactory(typing.Protocol):
    """Creates sessions for connected callers."""

    async def open_session(
        self, database: str, key_digest: bytes
    ) -> CallerSession | Reply:
        """Return a new session, or the reply that refuses it.

        Args:
          database: The database that the caller asked for.
          key_digest: The SHA-256 digest of the caller's key.

        Raises:
          TimeoutError: The configuration has not been read yet.
        """

    def readiness(self) -> bool:
        """Return whether this process is ready for new callers."""


class CallerFrontend(typing.Protocol):
    """Accepts callers and passes their statements to sessions."""

    async def start(self, sessions: SessionFactory) -> None:
        """Start accepting callers.

        Args:
          sessions: Creates the callers' sessions.
        """

    def close_after_answers(self) -> None:
        """Close each connection from now on with the answer that makes it idle.

        A caller that sends one statement after the other has a request on its
        way nearly always, so its connection is never found idle.
        """

    def refuse_new_work(self) -> None:
        """Refuse from now on what could go to another process.

        New connections, statements outside a transaction and new transactions
        are refused at once.
        """

    async def give_up(self) -> None:
        """End all running statements, each with its final answer."""

    def close_idle(self) -> int:
        """Close connections without input, running statement or transaction.

        Returns:
          The number of connections that are still open.
        """

    def sessions(self) -> list[CallerSession]:
        """Return the sessions of all open connections."""

    async def close(self) -> None:
        """Stop accepting callers and close all connections."""
