"""Execution of callers' statements on the servers of their groups."""

import asyncio
import typing

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.account_limits import AccountLimits
from jackdawcrank.relay.await_reply import await_reply, await_result
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.connection_pool import ConnectionPool, WaitLimitExceeded
from jackdawcrank.relay.execution import (
    Execution,
    send_commands,
    statement_commands,
)
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.relay.open_transaction import (
    OpenTransaction,
    release_after,
)
from jackdawcrank.relay.refusal_backoff import refusal_backoff_seconds
from jackdawcrank.relay.resolver import Resolver
from jackdawcrank.relay.session_view import SessionView
from jackdawcrank.seams import commands
from jackdawcrank.seams.replies import NOT_RUN, Problem, Reply
from jackdawcrank.seams.server_connection import (
    NotOpened,
    OpenFailure,
    ServerConnection,
)
from jackdawcrank_policy.accounts.account_allowance import Admission
from jackdawcrank_policy.catalog import Consistency, DatabaseSpec
from jackdawcrank_policy.values.position import Position
from jackdawcrank_policy.waiting import OVERLOAD_WAIT_SHARE, WaitLimits

# An answer that takes this many times the expected time counts as lost. Our
# users' longest statements take 12 times the mean.
LATE_ANSWER_FACTOR = 12.0
# Exceeds the longest round trip (80 ms) and the wait in a full server's queue.
MIN_ATTEMPT_SECONDS = 0.3
# Leaves half of a statement's time to a second attempt.
MAX_ATTEMPT_SHARE = 0.5
# A statement is sent only if the remaining time is at least this multiple of
# the expected answer time. A write that times out is in doubt, and a read that
# times out has wasted a slot of the server.
SEND_FACTOR = 3.0
# The age of data counts until the server reads it. Allows two round trips
# between regions (80 ms each) and a late timer.
AGE_MARGIN_SECONDS = 0.25
NO_PRIMARY = "no primary"
UNSERVABLE = "no primary, and no store to find one"
SILENT = "silent"
CONNECTION_LOST = "connection lost"
ANSWER_LOST = "answer lost"
DEADLINE_EXCEEDED = "out of time"
ADMISSION_EXPIRED = "waited longer than its admission"
# Reasons for the failure of an attempt that a server received.
RECEIVED = frozenset(
    {
        SILENT,
        CONNECTION_LOST,
        ANSWER_LOST,
        DEADLINE_EXCEEDED,
        Problem.FAILED.value,
        Problem.TIMED_OUT.value,
    }
)


@attrs.define
class Attempts:
    """The attempts to run one statement.

    Attributes:
      deadline: When the statement must be answered, in seconds on the loop's
        clock.
      started_at: When the statement arrived, in seconds on the loop's clock.
      count: Number of attempts.
      excluded: Ids of servers on which the statement has failed.
      failed_on: Id of the server of each attempt at a read that failed, was
        not answered in time or lost its connection. It counts against the
        servers once the read is answered, so that a bad statement does not.
      lagged: Whether the primary lacked the required position.
      reason: Why the latest attempt failed.
      wait_limit_exceeded: Whether the primary's queue could not admit the
        statement in time.
      server: Id of the server of the latest attempt.
      needed: The position that a replica needed in the latest attempt.
      runs: Number of attempts that a server received and did not refuse.
      admission: Admits the operation within its account's limit; None if it is
        not limited.
      priority: The priority of the caller's database in the latest attempt.
      account: The client account in the latest attempt; empty for none.
    """

    deadline: float
    started_at: float
    count: int = 0
    excluded: set[str] = attrs.Factory(set)
    failed_on: list[str] = attrs.Factory(list)
    lagged: bool = False
    reason: str = "no server could be reached"
    wait_limit_exceeded: bool = False
    server: str = ""
    needed: Position | None = None
    runs: int = 0
    admission: Admission | None = None
    priority: int = 0
    account: str = ""


class StatementRunner:
    """Selects servers for statements, sends them and retries safe ones.

    Attributes:
      directory: Resolves databases.
      log: Receives the decisions.
      limits: Limits the operations of client accounts; None if there is none.
    """

    def __init__(
        self,
        directory: Resolver,
        log: DecisionLog,
        limits: AccountLimits | None = None,
    ) -> None:
        self.directory = directory
        self.log = log
        self.limits = limits
        self.loop = asyncio.get_running_loop()

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

    async def admit(
        self,
        session: SessionView,
        execution: Execution | None,
        attempts: Attempts,
    ) -> Reply | None:
        """Admit an operation of a client account within its limit.

        An operation that has waited too long since it was admitted is admitted
        again, unless a server has received it.

        Returns:
          The reply that refuses it, or None.
        """
        if not session.account or self.limits is None or attempts.runs:
            return None
        if attempts.admission is not None:
            if self.limits.may_run(attempts.admission):
                return None
            self.limits.give_back(attempts.admission)
        admission = await self.limits.admit(
            session.account,
            execution.request_id if execution else "",
            attempts.deadline - self.loop.time(),
        )
        if isinstance(admission, Reply):
            seconds = self.loop.time() - attempts.started_at
            self.log.measurements.answered(
                session.database, Problem.BUSY.value, seconds
            )
            return admission
        attempts.admission = admission
        return None

    def begin_run(self, attempts: Attempts) -> bool:
        """Return whether the admission allows sending the statement now."""
        if attempts.admission is None or self.limits is None or attempts.runs:
            return True
        return self.limits.begin_run(attempts.admission)

    def count_run(self, attempts: Attempts, ended: bool) -> None:
        """Count an attempt that a server received.

        Args:
          attempts: The attempts including the one that was made.
          ended: Whether the attempt ended the operation.
        """
        admission = attempts.admission
        received = ended or attempts.reason in RECEIVED
        attempts.runs += received
        if admission is None or self.limits is None:
            return
        if attempts.runs == 0:
            self.limits.not_run(admission)
        elif received and attempts.runs == 1:
            self.limits.ran(admission)
        elif received:
            self.limits.ran_again(admission)

    def end_admission(self, attempts: Attempts) -> None:
        """Give back the token of an operation that no server received."""
        if attempts.admission and self.limits and not attempts.runs:
            self.limits.give_back(attempts.admission)

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
            acquired = await self.acquire_primary_connection(session, attempts)
            if acquired is None:
                return None
            pool, connection = acquired
        else:
            read_connection = await self.acquire_connection(
                pool, session, attempts
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

    async def acquire_primary_connection(
        self, session: SessionView, attempts: Attempts
    ) -> tuple[ConnectionPool, ServerConnection] | None:
        """Return a connection to the primary, or None."""
        _, group = resolved(session)
        pool = await group.wait_for_primary(attempts.deadline)
        if pool is None:
            lost = group.store_health.lost
            attempts.reason = UNSERVABLE if lost else NO_PRIMARY
            return None
        connection = await self.acquire_connection(pool, session, attempts)
        return (pool, connection) if connection else None

    async def acquire_connection(
        self, pool: ConnectionPool, session: SessionView, attempts: Attempts
    ) -> ServerConnection | None:
        """Return a connection of a pool, or None if there is none in time."""
        spec, group = resolved(session)
        attempts.server = pool.server.server_id
        attempts.priority = spec.priority
        attempts.account = session.account
        granted = await pool.acquire(
            session.context,
            self.wait_limits(spec, pool, attempts),
            session.account,
        )
        if isinstance(granted, WaitLimitExceeded):
            attempts.reason = OpenFailure.FULL.value
            attempts.wait_limit_exceeded = pool is group.primary_pool()
            attempts.excluded.add(pool.server.server_id)
            return None
        if isinstance(granted, NotOpened):
            attempts.reason = granted.failure.value
            if granted.failure is not OpenFailure.FULL:
                attempts.excluded.add(pool.server.server_id)
                group.record_unreachable(pool, granted.failure)
            return None
        if not self.begin_run(attempts):
            self.return_connection(pool, granted, broken=False)
            attempts.reason = ADMISSION_EXPIRED
            return None
        return granted

    def wait_limits(
        self, spec: DatabaseSpec, pool: ConnectionPool, attempts: Attempts
    ) -> WaitLimits:
        """Return how long a statement may wait for a connection of a pool."""
        now = self.loop.time()
        seconds = attempts.deadline - attempts.started_at
        expected = pool.condition.expected_seconds(now, MIN_ATTEMPT_SECONDS)
        needed = max(MIN_ATTEMPT_SECONDS, SEND_FACTOR * expected)
        latest = attempts.deadline - min(seconds * MAX_ATTEMPT_SHARE, needed)
        early = attempts.started_at + seconds * OVERLOAD_WAIT_SHARE
        return WaitLimits(spec.priority, latest, min(latest, early))

    def return_connection(
        self, pool: ConnectionPool, connection: ServerConnection, broken: bool
    ) -> None:
        """Return a connection to its pool after a statement, or close it."""
        if broken:
            pool.discard(connection)
        else:
            pool.release(connection)


def resolved(session: SessionView) -> tuple[DatabaseSpec, GroupRelay]:
    """Return a session's resolved database and group.

    Args:
      session: The session.

    Raises:
      RuntimeError: The session's database has not been resolved.
    """
    if session.spec is None or session.group is None:
        raise RuntimeError("the session's database is not resolved")
    return session.spec, session.group
