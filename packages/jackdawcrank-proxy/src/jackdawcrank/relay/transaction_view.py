"""The interface of an open transaction."""

import typing

from jackdawcrank.relay.execution import Execution
from jackdawcrank.relay.session_view import SessionView
from jackdawcrank.seams.replies import Reply


class Transaction(typing.Protocol):
    """A transaction on a server connection, here or at a home."""

    async def run(self, session: SessionView, execution: Execution) -> Reply:
        """Run a statement of the transaction.

        Args:
          session: Whose transaction it is.
          execution: The statement.
        """

    async def commit(self, session: SessionView, request_id: str) -> Reply:
        """Commit, and give the connection back.

        Args:
          session: Whose transaction it is.
          request_id: The caller's id of the commit.
        """

    def roll_back(self) -> None:
        """Roll back, and give the connection back once that is done."""


class Runner(typing.Protocol):
    """Runs statements, here or at a home."""

    async def run_single(
        self, session: SessionView, execution: Execution
    ) -> Reply:
        """Run a statement outside a transaction.

        Args:
          session: Whose it is; its database is resolved.
          execution: The statement.
        """

    async def begin(
        self, session: SessionView, execution: Execution | None
    ) -> Transaction | Reply:
        """Open a transaction on the server that fits it.

        Args:
          session: Whose it is; its database is resolved.
          execution: Its first statement, if there is one.
        """
