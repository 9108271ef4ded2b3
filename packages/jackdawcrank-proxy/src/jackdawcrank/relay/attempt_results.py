"""Evaluation of what became of an attempt to run a statement."""

import asyncio
import typing

from jackdawcrank.relay.attempts import (
    ANSWER_LOST,
    CONNECTION_LOST,
    DEADLINE_EXCEEDED,
    MAX_ATTEMPT_SHARE,
    MIN_ATTEMPT_SECONDS,
    SILENT,
    UNSERVABLE,
    Attempts,
)
from jackdawcrank.relay.await_reply import await_result
from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.relay.execution import Execution
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.relay.refusal_backoff import refusal_backoff_seconds
from jackdawcrank.relay.session_view import SessionView
from jackdawcrank.relay.statement_admission import StatementAdmission, resolved
from jackdawcrank.seams.replies import NOT_RUN, Problem, Reply
from jackdawcrank.seams.server_connection import ServerConnection

# An answer that takes this many times the expected time counts as lost. Our
# users' longest statements take 12 times the mean.
LATE_ANSWER_FACTOR = 12.0


class AttemptResults(StatementAdmission):
    """Records the results of attempts and decides whether to retry."""

    def can_retry(self, group: GroupRelay, attempts: Attempts) -> bool:
        """Return whether another attempt may succeed."""
        if (
            attempts.wait_limit_exceeded
            or self.loop.time() >= attempts.deadline
        ):
            return False
        if attempts.reason == UNSERVABLE:
            return group.usable_primary() is not None
        return True

    def log_result(
        self,
        session: SessionView,
        execution: Execution,
        attempts: Attempts,
        reply: Reply,
    ) -> None:
        """Log and count the result of a statement."""
        spec, group = resolved(session)
        seconds = self.loop.time() - attempts.started_at
        outcome = reply.problem.value if reply.problem else "done"
        self.log.measurements.answered(session.database, outcome, seconds)
        clean = reply.problem is None and attempts.count == 1
        write = self.log.routine if clean else self.log.event
        write(
            "statement",
            request=execution.request_id,
            database=session.database,
            writes=execution.writes,
            server=attempts.server,
            needed=str(attempts.needed) if attempts.needed else None,
            attempts=attempts.count,
            ms=round(seconds * 1000),
            outcome=outcome,
            account=session.account,
            reason="" if clean else attempts.reason,
            version=group.declared_version,
        )

    async def pause(self, attempts: Attempts) -> None:
        """Wait before the next attempt."""
        remaining = attempts.deadline - self.loop.time()
        if attempts.count > 1 and remaining > 0:
            delay = refusal_backoff_seconds(min(attempts.count - 2, 8))
            await asyncio.sleep(min(delay, remaining))

    def accept_read(
        self,
        group: GroupRelay,
        pool: ConnectionPool,
        reply: Reply,
        attempts: Attempts,
    ) -> Reply | None:
        """Return a reply that the caller may receive, or None."""
        if reply.problem is None:
            pool.condition.caught_up()
            group.record_read_answered(
                pool.server.server_id, attempts.failed_on
            )
            if pool is not group.primary_pool():
                group.switchover_trigger.replica_answered(self.loop.time())
            return reply
        if reply.problem in NOT_RUN:
            self.record_refusal(group, pool, reply, attempts)
            return None
        if reply.problem in (Problem.FAILED, Problem.TIMED_OUT):
            attempts.excluded.add(pool.server.server_id)
            attempts.failed_on.append(pool.server.server_id)
            attempts.reason = reply.problem.value
            return None
        return reply

    async def read_reply(
        self,
        group: GroupRelay,
        pool: ConnectionPool,
        connection: ServerConnection,
        future: asyncio.Future[Reply],
        attempts: Attempts,
    ) -> Reply | None:
        """Wait for the reply to a read; return None if overdue or lost."""
        start = self.loop.time()
        limit = self.attempt_seconds(pool, attempts, start)
        reply = await await_result(
            future, min(attempts.deadline, start + limit)
        )
        now = self.loop.time()
        if reply is None:
            self.record_no_answer(
                group, pool, connection, attempts, start, limit
            )
            return None
        if reply.problem is None:
            pool.condition.answered(now - start, now)
        if pool is group.primary_pool():
            group.suspicion.answered()
        return reply

    def record_no_answer(
        self,
        group: GroupRelay,
        pool: ConnectionPool,
        connection: ServerConnection,
        attempts: Attempts,
        start: float,
        limit: float,
    ) -> None:
        """Record that a statement was not answered.

        Args:
          group: The statement's group.
          pool: The connection pool of the server.
          connection: The connection on which the statement was sent.
          attempts: The statement's attempts.
          start: When it was sent, in seconds on the loop's clock.
          limit: Time limit of the attempt in seconds; the wait is shorter if
            the statement's deadline comes first.
        """
        now = self.loop.time()
        if not connection.closed and now - start < limit:
            # Neither the statement's deadline nor a lost reply is evidence
            # against the server.
            late = now >= attempts.deadline
            attempts.reason = DEADLINE_EXCEEDED if late else ANSWER_LOST
            return
        attempts.reason = CONNECTION_LOST if connection.closed else SILENT
        attempts.excluded.add(pool.server.server_id)
        attempts.failed_on.append(pool.server.server_id)
        pool.condition.failed(now)
        if not connection.closed:
            pool.condition.timed_out(now - start)
        group.record_unanswered(pool, not connection.closed, start)

    def attempt_seconds(
        self, pool: ConnectionPool, attempts: Attempts, now: float
    ) -> float:
        """Return the time limit for the reply of one attempt, in seconds."""
        expected = pool.condition.expected_seconds(now, MIN_ATTEMPT_SECONDS)
        max_seconds = (
            attempts.deadline - attempts.started_at
        ) * MAX_ATTEMPT_SHARE
        return min(
            max_seconds, max(MIN_ATTEMPT_SECONDS, expected * LATE_ANSWER_FACTOR)
        )

    def record_refusal(
        self,
        group: GroupRelay,
        pool: ConnectionPool,
        reply: Reply,
        attempts: Attempts,
    ) -> None:
        """Record a reply which says that the statement did not run."""
        problem = typing.cast(Problem, reply.problem)
        attempts.reason = problem.value
        now = self.loop.time()
        if problem is Problem.NOT_PRIMARY:
            group.mark_not_primary(pool)
        elif problem is Problem.LACKS_POSITION:
            pool.condition.lagged(now)
            if pool is group.primary_pool():
                attempts.lagged = True
            else:
                attempts.excluded.add(pool.server.server_id)
        elif problem is Problem.BUSY:
            pool.limiter.refused()
            pool.queue_statistics.refused_by_server(
                attempts.priority, attempts.account
            )
            pool.condition.failed(now)
