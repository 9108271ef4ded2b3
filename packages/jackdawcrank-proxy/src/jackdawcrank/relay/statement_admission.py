"""Admission of statements by their accounts' limits and by connections."""

import asyncio

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.account_limits import AccountLimits
from jackdawcrank.relay.attempts import (
    ADMISSION_EXPIRED,
    MAX_ATTEMPT_SHARE,
    MIN_ATTEMPT_SECONDS,
    NO_PRIMARY,
    RECEIVED,
    UNSERVABLE,
    Attempts,
)
from jackdawcrank.relay.connection_pool import ConnectionPool, WaitLimitExceeded
from jackdawcrank.relay.execution import Execution
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.relay.resolver import Resolver
from jackdawcrank.relay.session_view import SessionView
from jackdawcrank.seams.replies import Problem, Reply
from jackdawcrank.seams.server_connection import (
    NotOpened,
    OpenFailure,
    ServerConnection,
)
from jackdawcrank_policy.catalog import DatabaseSpec
from jackdawcrank_policy.waiting import OVERLOAD_WAIT_SHARE, WaitLimits

# A statement is sent only if the remaining time is at least this multiple of
# the expected answer time. A write that times out is in doubt, and a read that
# times out has wasted a slot of the server.
SEND_FACTOR = 3.0


class StatementAdmission:
    """Admits statements and gets connections for them.

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

    async def acquire_primary_connection(
        self,
        session: SessionView,
        attempts: Attempts,
        transaction: bool = False,
    ) -> tuple[ConnectionPool, ServerConnection] | None:
        """Return a connection to the primary, or None."""
        _, group = resolved(session)
        pool = await group.wait_for_primary(attempts.deadline)
        if pool is None:
            lost = group.store_health.lost
            attempts.reason = UNSERVABLE if lost else NO_PRIMARY
            return None
        connection = await self.acquire_connection(
            pool, session, attempts, transaction
        )
        return (pool, connection) if connection else None

    async def acquire_connection(
        self,
        pool: ConnectionPool,
        session: SessionView,
        attempts: Attempts,
        transaction: bool = False,
    ) -> ServerConnection | None:
        """Return a connection of a pool, or None if there is none in time.

        Args:
          pool: The pool.
          session: The caller's session, with its database resolved.
          attempts: The statement's attempts.
          transaction: Whether a transaction will hold the connection.
        """
        spec, group = resolved(session)
        attempts.server = pool.server.server_id
        attempts.priority = spec.priority
        attempts.account = session.account
        granted = await pool.acquire(
            session.context,
            self.wait_limits(spec, pool, attempts),
            session.account,
            transaction,
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
