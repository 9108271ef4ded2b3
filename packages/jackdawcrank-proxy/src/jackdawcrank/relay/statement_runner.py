"""Execution of callers' statements on the servers of their groups."""

from jackdawcrank.relay.attempt_results import AttemptResults
from jackdawcrank.relay.attempts import (
    CONNECTION_LOST,
    MIN_ATTEMPT_SECONDS,
    NO_PRIMARY,
    SILENT,
    UNSERVABLE,
    Attempts,
)
from jackdawcrank.relay.await_reply import await_reply, await_result
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.execution import (
    Execution,
    send_commands,
    statement_commands,
)
from jackdawcrank.relay.open_transaction import (
    OpenTransaction,
    release_after,
)
from jackdawcrank.relay.session_view import SessionView
from jackdawcrank.relay.statement_admission import resolved
from jackdawcrank.seams import commands
from jackdawcrank.seams.replies import NOT_RUN, Problem, Reply
from jackdawcrank_policy.catalog import Consistency
from jackdawcrank_policy.values.position import Position

__all__ = [
    "MIN_ATTEMPT_SECONDS",
    "NO_PRIMARY",
    "SILENT",
    "UNSERVABLE",
    "Attempts",
    "StatementRunner",
    "resolved",
]

# The age of data counts until the server reads it. Allows two round trips
# between regions (80 ms each) and a late timer.
AGE_MARGIN_SECONDS = 0.25


class StatementRunner(AttemptResults):
    """Selects servers for statements, sends them and retries safe ones."""

    async def run_single(
        self, session: SessionView, execution: Execution
    ) -> Reply:
        """Run a statement outside a transaction.

        Args:
          session: The caller's session, with its database resolved.
          execution: The statement.
        """
        spec, group = resolved(session)
        now = self.loop.time()
        attempts = Attempts(now + spec.statement_timeout_seconds, now)
        while self.can_retry(group, attempts):
            refusal = await self.admit(session, execution, attempts)
            if refusal is not None:
                return refusal
            attempts.count += 1
            if execution.writes:
                reply = await self.try_write(session, execution, attempts)
            else:
                reply = await self.try_read(session, execution, attempts)
            self.count_run(attempts, reply is not None)
            if reply is not None:
                self.log_result(session, execution, attempts, reply)
                return reply
            await self.pause(attempts)
        self.end_admission(attempts)
        reply = Reply(problem=Problem.BUSY, detail=attempts.reason)
        self.log_result(session, execution, attempts, reply)
        return reply

    async def try_write(
        self,
        session: SessionView,
        execution: Execution,
        attempts: Attempts,
    ) -> Reply | None:
        """Attempt to write once; return None if nothing ran."""
        spec, group = resolved(session)
        acquired = await self.acquire_primary_connection(session, attempts)
        if acquired is None:
            return None
        pool, connection = acquired
        batch = statement_commands(connection, session.context, execution)
        start = self.loop.time()
        sent_at = boot_seconds()
        future = send_commands(connection, batch)[-1]
        reply = await await_result(future, attempts.deadline)
        if reply is None:
            silent = not connection.closed
            group.record_unanswered(pool, silent, start, wrote=True)
            self.return_connection(pool, connection, broken=True)
            attempts.reason = SILENT if silent else CONNECTION_LOST
            return Reply(
                problem=Problem.IN_DOUBT,
                detail="the server did not answer the write",
            )
        pool.condition.position_seen(reply.position)
        broken = reply.problem is Problem.UNKNOWN_NAME
        self.return_connection(pool, connection, broken)
        if reply.problem in NOT_RUN:
            self.record_refusal(group, pool, reply, attempts)
            return None
        if reply.problem is None:
            session.record_position(reply.position)
            group.suspicion.commit_acknowledged()
            if reply.position:
                group.watermarks.add(sent_at, reply.position)
        return reply

    async def try_read(
        self,
        session: SessionView,
        execution: Execution,
        attempts: Attempts,
    ) -> Reply | None:
        """Attempt to read once; return None if the read should be retried."""
        spec, group = resolved(session)
        needed = await self.needed_position(session, attempts)
        attempts.needed = needed
        pool = None
        if needed is not None:
            pool = group.choose_read_pool(
                self.loop.time(), needed, attempts.excluded
            )
        if pool is None:
            return await self.read_from_primary(session, execution, attempts)
        connection = await self.acquire_connection(pool, session, attempts)
        if connection is None:
            return None
        batch = statement_commands(
            connection, session.context, execution, needed
        )
        future = send_commands(connection, batch)[-1]
        reply = await self.read_reply(group, pool, connection, future, attempts)
        if reply is None:
            self.return_connection(pool, connection, broken=True)
            return None
        pool.condition.position_seen(reply.position)
        broken = reply.problem is Problem.UNKNOWN_NAME
        self.return_connection(pool, connection, broken)
        return self.accept_read(group, pool, reply, attempts)

    async def needed_position(
        self, session: SessionView, attempts: Attempts
    ) -> Position | None:
        """Return the position that a replica needs, or None for the primary."""
        spec, group = resolved(session)
        if spec.consistency is Consistency.PRIMARY or attempts.lagged:
            return None
        watermark = await group.watermark(
            spec.max_age_seconds - AGE_MARGIN_SECONDS
        )
        if watermark is None:
            return None
        session_position = session.last_position
        if spec.consistency is Consistency.OWN_WRITES and session_position:
            return max(watermark, session_position)
        return watermark

    async def read_from_primary(
        self,
        session: SessionView,
        execution: Execution,
        attempts: Attempts,
    ) -> Reply | None:
        """Read from the primary, verifying that it is the primary.

        The read runs in a read-write transaction: a server that has just
        ceased to be the primary still answers a read outside a transaction,
        but refuses the statements of a read-write transaction.
        """
        spec, group = resolved(session)
        acquired = await self.acquire_primary_connection(session, attempts)
        if acquired is None:
            return None
        pool, connection = acquired
        batch = statement_commands(
            connection,
            session.context,
            execution,
            opening=commands.BeginTransaction(read_only=False),
        )
        batch.append(commands.RollbackTransaction())
        sent_at = boot_seconds()
        futures = send_commands(connection, batch)
        reply = await self.read_reply(
            group, pool, connection, futures[-2], attempts
        )
        if reply is None:
            self.return_connection(pool, connection, broken=True)
            return None
        opened = futures[-3].result()
        pool.condition.position_seen(reply.position)
        if reply.problem is Problem.UNKNOWN_NAME:
            self.return_connection(pool, connection, broken=True)
        else:
            release_after(pool, connection, futures[-1])
        if opened.problem is not None:
            self.record_refusal(group, pool, opened, attempts)
            return None
        if reply.problem is None and reply.position:
            group.watermarks.add(sent_at, reply.position)
        return self.accept_read(group, pool, reply, attempts)

    async def begin(
        self, session: SessionView, execution: Execution | None
    ) -> OpenTransaction | Reply:
        """Open a transaction on a suitable server.

        Args:
          session: The caller's session, with its database resolved.
          execution: The first statement of the transaction, or None.

        Returns:
          The transaction, or a reply that refuses it.
        """
        spec, group = resolved(session)
        now = self.loop.time()
        attempts = Attempts(now + spec.statement_timeout_seconds, now)
        while self.can_retry(group, attempts):
            refusal = await self.admit(session, execution, attempts)
            if refusal is not None:
                return refusal
            attempts.count += 1
            opened = await self.try_begin(session, execution, attempts)
            self.count_run(attempts, opened is not None)
            if opened is not None:
                return opened
            await self.pause(attempts)
        self.end_admission(attempts)
        request_id = execution.request_id if execution else ""
        self.log.event(
            "transaction_refused",
            request=request_id,
            database=session.database,
            account=session.account,
            attempts=attempts.count,
            reason=attempts.reason,
        )
        return Reply(problem=Problem.BUSY, detail=attempts.reason)

    async def try_begin(
        self,
        session: SessionView,
        execution: Execution | None,
        attempts: Attempts,
    ) -> OpenTransaction | None:
        """Attempt to open a transaction once; return None on failure."""
        spec, group = resolved(session)
        needed = None
        pool = None
        if session.read_only:
            needed = await self.needed_position(session, attempts)
        if needed is not None:
            pool = group.choose_read_pool(
                self.loop.time(), needed, attempts.excluded
            )
        on_primary = pool is None
        if pool is None:
            acquired = await self.acquire_primary_connection(
                session, attempts, transaction=True
            )
            if acquired is None:
                return None
            pool, connection = acquired
        else:
            read_connection = await self.acquire_connection(
                pool, session, attempts, transaction=True
            )
            if read_connection is None:
                return None
            connection = read_connection
        batch = statement_commands(connection, session.context, None)
        batch.append(
            commands.BeginTransaction(read_only=not on_primary, needed=needed)
        )
        start = self.loop.time()
        limit = self.attempt_seconds(pool, attempts, start)
        future = send_commands(connection, batch)[-1]
        reply = await await_reply(future, min(attempts.deadline, start + limit))
        if reply is None:
            self.record_no_answer(
                group, pool, connection, attempts, start, limit
            )
            self.return_connection(pool, connection, broken=True)
            return None
        pool.condition.position_seen(reply.position)
        if reply.problem is not None:
            self.return_connection(pool, connection, broken=False)
            self.record_refusal(group, pool, reply, attempts)
            return None
        pool.end_statement(connection)
        if session.read_only:
            # A server that fails reads may well open transactions, so the
            # answer to this command is not counted.
            for server_id in attempts.failed_on:
                group.record_read_failed(server_id)
        return OpenTransaction(
            group, pool, connection, on_primary, spec.statement_timeout_seconds
        )
