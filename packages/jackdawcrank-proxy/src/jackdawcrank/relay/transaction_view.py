"""The interfaces of open transactions and of statement runners."""

import typing

from jackdawcrank.relay.execution import Execution
from jackdawcrank.relay.session_view import SessionView
from jackdawcrank.seams.replies import Reply


class Transaction(typing.Protocol):
    """An open transaction, run by this proxy or by a home."""

    async def run(self, session: SessionView, execution: Execution) -> Reply:
        """Run a statement in the transaction.

        Args:
          session: The session that owns the transaction.
          execution: The statement.
        """

    async def commit(self, session: SessionView, request_id: str) -> Reply:
        """Commit and release the connection.

        Args:
          session: The session that owns the transaction.
          request_id: The request id of the commit.
        """

    def roll_back(self) -> None:
        """Roll back and release the connection after the reply."""


class Runner(typing.Protocol):
    """Runs statements on this proxy or on a home."""

    async def run_single(
        self, session: SessionView, execution: Execution
    ) -> Reply:
        """Run a statement outside a transaction.

        Args:
          session: The caller's session; its database must be resolved.
          execution: The statement.
        """

    async def begin(
        self, session: SessionView, execution: Execution | None
    ) -> Transaction | Reply:
        """Open a transaction on a suitable server.

        Args:
          session: The caller's session; its database must be resolved.
          execution: The first statement, or None.

        Returns:
          The open transaction, or the error reply.
        """
