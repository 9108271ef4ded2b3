"""Transactions on a dedicated server connection."""

import asyncio
import typing

import attrs

from jackdawcrank.relay.await_reply import await_result
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.relay.execution import (
    Execution,
    send_commands,
    statement_commands,
)
from jackdawcrank.relay.refusal_backoff import refusal_backoff_seconds
from jackdawcrank.relay.session_view import SessionView
from jackdawcrank.relay.statement_limiter import TRANSACTION_PRIORITY
from jackdawcrank.seams.commands import (
    Command,
    ForwardCommit,
    RollbackTransaction,
)
from jackdawcrank.seams.replies import Problem, Reply, SessionState
from jackdawcrank.seams.server_connection import ServerConnection

if typing.TYPE_CHECKING:
    from jackdawcrank.relay.group_relay import GroupRelay

# A rollback does not wait for a slot on the server, so a server that exceeds
# this time is treated as unresponsive.
ROLLBACK_TIMEOUT_SECONDS = 1.0


@attrs.frozen
class NotSent:
    """The result of a statement that was not sent to the server."""


class OpenTransaction:
    """Holds a connection for a transaction until the transaction ends.

    Attributes:
      group: The database group.
      pool: The connection pool that the connection belongs to.
      connection: The connection.
      on_primary: Whether the server must be the primary for a statement to
        succeed.
      timeout_seconds: The timeout of a statement.
      wrote: Whether a write was started.
      running: Whether a statement is in flight.
      ended: Whether the connection was released or discarded, or waits for the
        reply to a rollback.
    """

    def __init__(
        self,
        group: "GroupRelay",
        pool: ConnectionPool,
        connection: ServerConnection,
        on_primary: bool,
        timeout_seconds: float,
    ) -> None:
        self.group = group
        self.pool = pool
        self.connection = connection
        self.on_primary = on_primary
        self.timeout_seconds = timeout_seconds
        self.wrote = False
        self.running = False
        self.ended = False
        self.loop = asyncio.get_running_loop()

    async def run(self, session: SessionView, execution: Execution) -> Reply:
        """Run a statement in the transaction.

        Args:
          session: The session that owns the transaction.
          execution: The statement.
        """
        if self.ended:
            return self.not_admitted(
                session, execution.request_id, self.loop.time()
            )
        self.wrote = self.wrote or execution.writes
        sent_at = boot_seconds()
        start = self.loop.time()
        commands = statement_commands(
            self.connection, session.context, execution
        )
        reply = await self.send(commands, start + self.timeout_seconds)
        if isinstance(reply, NotSent):
            return self.not_admitted(session, execution.request_id, start)
        if reply is None:
            return self.statement_unanswered(
                session, execution.request_id, start
            )
        self.record_reply(sent_at, start, reply)
        if reply.problem is not None:
            self.group.log.event(
                "transaction_statement",
                request=execution.request_id,
                database=session.database,
                account=self.connection.account,
                group=self.group.name,
                server=self.pool.server.server_id,
                outcome=reply.problem.value,
                ms=round((self.loop.time() - start) * 1000),
            )
        if reply.problem is Problem.UNKNOWN_NAME:
            # The session prepared it; the connection lost it. Nothing ran.
            self.drop()
            return attrs.evolve(reply, problem=Problem.ROLLED_BACK)
        return reply

    async def send(
        self, commands: list[Command], deadline: float
    ) -> Reply | NotSent | None:
        """Send commands and retry the last one while the server is full.

        A full server refuses the command without running it and keeps the
        transaction open.

        Args:
          commands: The commands.
          deadline: When to give up, in seconds on the event loop's clock.

        Returns:
          The last reply, `NotSent`, or None if the server did not answer.
        """
        refusals = 0
        while True:
            pause = refusal_backoff_seconds(refusals)
            reply = await self.send_once(commands, deadline)
            if (
                not isinstance(reply, Reply)
                or reply.problem is not Problem.BUSY
            ):
                return reply
            self.pool.queue_statistics.refused_by_server(
                TRANSACTION_PRIORITY, self.connection.account
            )
            if (
                reply.state is not SessionState.IN_TRANSACTION
                or self.loop.time() + pause >= deadline
            ):
                return reply
            self.pool.limiter.refused()
            await asyncio.sleep(pause)
            refusals += 1
            commands = commands[-1:]

    async def send_once(
        self, commands: list[Command], deadline: float
    ) -> Reply | NotSent | None:
        """Send commands once they are admitted; return the last reply."""
        if self.ended:
            # The connection may serve another request by now.
            return NotSent()
        if not await self.pool.begin_statement(self.connection, deadline):
            return NotSent()
        if self.ended:
            # The transaction was rolled back while the statement waited.
            # The statement would now run outside a transaction.
            return NotSent()
        self.running = True
        try:
            future = send_commands(self.connection, commands)[-1]
            return await await_result(future, deadline)
        finally:
            self.running = False
            self.pool.end_statement(self.connection)

    def record_reply(self, sent_at: float, start: float, reply: Reply) -> None:
        """Update the state of the server and the group from a reply."""
        condition = self.pool.condition
        condition.position_seen(reply.position)
        if reply.problem is Problem.NOT_PRIMARY:
            self.group.mark_not_primary(self.pool)
        elif reply.problem in (Problem.FAILED, Problem.TIMED_OUT):
            if not self.on_primary:
                self.group.record_read_failed(self.pool.server.server_id)
        elif reply.problem is None:
            if not self.on_primary:
                self.group.record_read_answered(self.pool.server.server_id)
            condition.answered(self.loop.time() - start, self.loop.time())
            if self.on_primary:
                # A server that is no longer the primary refuses every
                # statement of such a transaction.
                if reply.position:
                    self.group.watermarks.add(sent_at, reply.position)
                self.group.suspicion.answered()

    def not_admitted(
        self, session: SessionView, request_id: str, start: float
    ) -> Reply:
        """Roll back because a statement was not sent."""
        lost = self.connection.closed
        self.roll_back()
        self.group.log.event(
            "transaction_statement",
            request=request_id,
            database=session.database,
            account=self.connection.account,
            group=self.group.name,
            server=self.pool.server.server_id,
            outcome=Problem.ROLLED_BACK.value,
            ms=round((self.loop.time() - start) * 1000),
        )
        return Reply(
            problem=Problem.ROLLED_BACK,
            detail="the connection was lost; the transaction is rolled back"
            if lost
            else "the server is full; the transaction is rolled back",
        )

    def statement_unanswered(
        self, session: SessionView, request_id: str, start: float
    ) -> Reply:
        """Close the connection of an unanswered statement.

        The transaction was not committed.
        """
        self.report_unanswered("transaction_lost", session, request_id, start)
        self.drop()
        return Reply(
            problem=Problem.ROLLED_BACK,
            detail="the server did not answer; the transaction is rolled back",
        )

    async def commit(self, session: SessionView, request_id: str) -> Reply:
        """Commit and release the connection.

        Args:
          session: The session that owns the transaction.
          request_id: The request id of the commit.
        """
        start = self.loop.time()
        sent_at = boot_seconds()
        reply = await self.send(
            [ForwardCommit(request_id)], start + self.timeout_seconds
        )
        if isinstance(reply, NotSent):
            return self.not_admitted(session, request_id, start)
        if reply is None:
            return self.commit_unanswered(session, request_id, start)
        if self.connection.state is SessionState.IDLE:
            self.release()
        else:
            self.roll_back()
        self.pool.condition.position_seen(reply.position)
        self.log_commit(session, request_id, start, reply)
        if reply.problem is None and self.wrote:
            session.record_position(reply.position)
            self.group.suspicion.commit_acknowledged()
            if reply.position:
                self.group.watermarks.add(sent_at, reply.position)
        elif reply.problem is Problem.NOT_PRIMARY:
            self.group.mark_not_primary(self.pool)
        return reply

    def log_commit(
        self, session: SessionView, request_id: str, start: float, reply: Reply
    ) -> None:
        """Record the reply to a commit in the log and the measurements."""
        log = self.group.log
        seconds = self.loop.time() - start
        outcome = reply.problem.value if reply.problem else "done"
        log.measurements.answered(session.database, outcome, seconds)
        write = log.event if reply.problem else log.routine
        write(
            "transaction_ended",
            request=request_id,
            database=session.database,
            account=self.connection.account,
            group=self.group.name,
            server=self.pool.server.server_id,
            outcome=outcome,
            position=str(reply.position),
            ms=round(seconds * 1000),
        )

    def commit_unanswered(
        self, session: SessionView, request_id: str, start: float
    ) -> Reply:
        """Return the reply to a commit that the server did not answer.

        The outcome of the commit is in doubt if the transaction wrote.
        """
        if not self.wrote:
            return self.statement_unanswered(session, request_id, start)
        self.report_unanswered(
            "commit_in_doubt", session, request_id, start, wrote=True
        )
        self.drop()
        return Reply(
            problem=Problem.IN_DOUBT,
            detail="the server did not answer the commit",
        )

    def report_unanswered(
        self,
        event: str,
        session: SessionView,
        request_id: str,
        start: float,
        wrote: bool = False,
    ) -> None:
        """Report an unanswered command to the group and log it."""
        silent = not self.connection.closed
        self.group.record_unanswered(self.pool, silent, start, wrote)
        if not silent and not self.on_primary:
            # A silent one may have been sent just before the deadline.
            self.group.record_read_failed(self.pool.server.server_id)
        self.group.log.event(
            event,
            request=request_id,
            database=session.database,
            account=self.connection.account,
            group=self.group.name,
            server=self.pool.server.server_id,
            silent=silent,
            waited=round(self.loop.time() - start, 3),
        )

    def roll_back(self) -> None:
        """Roll back and release the connection after the reply.

        Closes the connection instead if a statement is in flight.
        """
        if self.ended:
            return
        if self.connection.closed or self.running:
            self.drop()
            return
        self.ended = True
        release_after(
            self.pool,
            self.connection,
            self.connection.send([RollbackTransaction()])[0],
        )

    def release(self) -> None:
        """Return the connection to the pool."""
        if not self.ended:
            self.ended = True
            self.pool.release(self.connection)

    def drop(self) -> None:
        """Close the connection; the server rolls back the transaction."""
        if not self.ended:
            self.ended = True
            self.pool.discard(self.connection)


def release_after(
    pool: ConnectionPool,
    connection: ServerConnection,
    future: asyncio.Future[Reply],
) -> None:
    """Return a connection to its pool after its last command is answered.

    The connection is closed if there is no reply within
    `ROLLBACK_TIMEOUT_SECONDS`.

    Args:
      pool: The connection pool that the connection belongs to.
      connection: The connection.
      future: The reply to the last command.
    """
    loop = asyncio.get_running_loop()
    timeout = loop.call_later(ROLLBACK_TIMEOUT_SECONDS, connection.close)

    def finish(done: asyncio.Future[Reply]) -> None:
        timeout.cancel()
        failed = done.cancelled() or done.exception() is not None
        if failed:
            pool.discard(connection)
        else:
            pool.release(connection)

    future.add_done_callback(finish)
