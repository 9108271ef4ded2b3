"""The connections of a pool: idle, in use and being opened."""

import abc
import asyncio
import collections
import functools
from collections.abc import Callable, Container

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.connection_requests import ConnectionRequest, OpenResult
from jackdawcrank.relay.queue_statistics import QueueStatistics
from jackdawcrank.relay.statement_limiter import StatementLimiter
from jackdawcrank.seams.replies import SessionState
from jackdawcrank.seams.server_connection import (
    ConnectionOpener,
    NotOpened,
    ServerConnection,
)
from jackdawcrank_policy.accounts.connection_choice import (
    AccountUse,
    choose_control,
    choose_idle,
)
from jackdawcrank_policy.catalog import ListedServer
from jackdawcrank_policy.placement import ServerCondition
from jackdawcrank_policy.sessions import SessionContext
from jackdawcrank_policy.waiting import OverloadDetector, WaitEstimator
from jackdawcrank_policy.waiting.fair_wait_queue import FairWaitQueue

# With a smaller window, a slot would be idle for a round trip between regions
# after each statement.
MIN_WINDOW = 2.0
# Connections that are idle for longer are closed, so that other proxies can
# use the server's slots.
IDLE_SECONDS = 12.0


@attrs.frozen
class IdleConnection:
    """An idle connection.

    Attributes:
      connection: The connection.
      since: When it became idle, in seconds on the loop's clock.
    """

    connection: ServerConnection
    since: float


class PoolConnections(abc.ABC):
    """Connections of one server and the requests that wait for them.

    Each connection belongs to one client account, or to callers without one.

    Attributes:
      server: The server's latest report.
      opener: Opens connections.
      limit: Maximum number of connections of this proxy.
      condition: State of the server as observed by this proxy.
      idle: Idle connections, the most recently used last.
      count: Number of connections that are open or being opened.
      opening: Number of connections that are being opened.
      opening_for: Their number by account.
      account_use: The recent use of connections by account.
      close_for_full: Whether an idle connection is to be closed because the
        server refused a new one as full.
      full_until: No connection is opened before this time, in seconds on the
        loop's clock, because the server was full.
      in_use: The time at which each connection in use was checked out, in
        seconds on the loop's clock.
      transactions: The connections that transactions hold.
      waiting_transactions: Number of transactions that wait for a connection.
      queue: Requests that wait for a connection.
      wait_estimator: Estimates queue waits from how long connections are in
        use.
      overload_detector: Sets the wait limit of new requests.
      limiter: Limits the statements in flight on the server.
      queue_statistics: Counts the waits and refusals at the server.
      executing: The time at which each connection with a statement in flight
        started it, in seconds on the loop's clock.
      reuse_handle: Serves requests that have waited for `REUSE_SECONDS`; None
        if none waits for that.
      retired: Whether the server has been removed.
      on_lost: Called when the server closes an idle connection.
    """

    def __init__(
        self,
        server: ListedServer,
        opener: ConnectionOpener,
        limit: int,
        window: float,
        log: DecisionLog,
        on_lost: Callable[[], None],
    ) -> None:
        self.on_lost = on_lost
        self.server = server
        self.opener = opener
        self.limit = limit
        self.log = log
        self.condition = ServerCondition()
        self.idle: list[IdleConnection] = []
        self.count = 0
        self.opening = 0
        self.opening_for: collections.Counter[str] = collections.Counter()
        self.account_use = AccountUse()
        self.full_until = 0.0
        self.close_for_full = False
        self.limiter = StatementLimiter(
            max(MIN_WINDOW, window), limit, log.measurements.waited
        )
        self.queue_statistics = QueueStatistics()
        self.executing: dict[ServerConnection, float] = {}
        self.wait_estimator = WaitEstimator()
        self.overload_detector = OverloadDetector()
        self.in_use: dict[ServerConnection, float] = {}
        self.transactions: set[ServerConnection] = set()
        self.waiting_transactions = 0
        self.queue: FairWaitQueue[ConnectionRequest] = FairWaitQueue()
        self.reuse_handle: asyncio.TimerHandle | None = None
        self.retired = False
        self.tasks: set[asyncio.Task[None]] = set()
        self.loop = asyncio.get_running_loop()

    @abc.abstractmethod
    def open_more(self) -> None:
        """Serve waiting requests, and open connections that they could use."""

    def check_out(self, granted: OpenResult) -> OpenResult:
        """Record that a connection is in use from now on."""
        if not isinstance(granted, NotOpened):
            now = self.loop.time()
            self.in_use[granted] = now
            if granted.account:
                self.account_use.record(granted.account, now)
            self.condition.running = len(self.in_use)
        return granted

    def check_in(self, connection: ServerConnection) -> None:
        """Record that a connection is no longer in use."""
        self.transactions.discard(connection)
        ended = self.leave_limiter(connection)
        # Otherwise a connection would be opened, and an idle one closed, for a
        # request that may get this connection.
        if ended and not connection.account and not self.queue.has_accounts():
            self.open_more()
        used_since = self.in_use.pop(connection, None)
        if used_since is not None:
            self.wait_estimator.record_hold(self.loop.time() - used_since)
            self.condition.running = len(self.in_use)

    def end_statement(self, connection: ServerConnection) -> None:
        """Record that a connection in use has no statement in flight."""
        if self.leave_limiter(connection):
            self.open_more()

    def leave_limiter(self, connection: ServerConnection) -> bool:
        """Record that a statement has ended; return whether one was in flight."""
        sent_at = self.executing.pop(connection, None)
        if sent_at is None:
            return False
        self.limiter.leave(self.loop.time() - sent_at)
        return True

    def has_spare_connection(self) -> bool:
        """Return whether a connection is idle or may be opened."""
        return bool(self.idle) or self.count < self.limit

    async def acquire_control_connection(
        self, timeout_seconds: float
    ) -> OpenResult:
        """Return a connection for a control command.

        The pool's limit does not apply to it.

        Args:
          timeout_seconds: Time limit for opening a connection.
        """
        while (index := choose_control(self.idle_accounts())) is not None:
            connection = self.take(index)
            if not connection.closed:
                return connection
            self.count -= 1
        opened = await self.opener.open(self.server, timeout_seconds)
        if not isinstance(opened, NotOpened):
            self.count += 1
        return opened

    def take_idle(
        self, context: SessionContext, account: str
    ) -> ServerConnection | None:
        """Return an account's idle connection that needs the least setup."""
        while True:
            index = choose_idle(
                self.idle_accounts(),
                account,
                lambda index: self.idle[
                    index
                ].connection.context.count_differences(context),
            )
            if index is None:
                return None
            connection = self.take(index)
            if not connection.closed:
                return connection
            self.count -= 1

    def idle_accounts(self) -> list[str]:
        """Return the accounts of the idle connections, in their order."""
        return [one.connection.account for one in self.idle]

    def take(self, index: int) -> ServerConnection:
        """Remove a connection from the idle ones and return it."""
        connection = self.idle.pop(index).connection
        connection.on_closed = None
        return connection

    def idle_closed(self, connection: ServerConnection) -> None:
        """Remove an idle connection that the server has closed."""
        kept = [one for one in self.idle if one.connection is not connection]
        self.count -= len(self.idle) - len(kept)
        self.idle = kept
        self.on_lost()
        self.open_more()

    def release(self, connection: ServerConnection) -> None:
        """Return a connection to the pool.

        A connection in a transaction is closed.

        Args:
          connection: The connection.
        """
        self.check_in(connection)
        if connection.state is not SessionState.IDLE:
            # The next statement on it would run inside this transaction.
            self.log.event(
                "connection_not_idle",
                server=self.server.server_id,
                state=connection.state.value,
            )
            self.discard(connection)
            return
        if (
            connection.closed
            or connection.context.failed
            or self.retired
            or self.count > self.limit
        ):
            self.discard(connection)
            return
        self.idle.append(IdleConnection(connection, self.loop.time()))
        connection.on_closed = functools.partial(self.idle_closed, connection)
        self.open_more()

    def discard(self, connection: ServerConnection) -> None:
        """Close a connection that cannot be reused.

        Args:
          connection: The connection.
        """
        self.check_in(connection)
        connection.close()
        self.count -= 1
        self.open_more()

    def trim(self, keep: int) -> None:
        """Close idle connections beyond the limit or idle for too long.

        Args:
          keep: Number of idle connections that are kept however long they
            have been idle.
        """
        while self.idle and self.count > self.limit:
            self.discard(self.take(0))
        oldest = self.loop.time() - IDLE_SECONDS
        while len(self.idle) > keep and self.idle[0].since < oldest:
            self.discard(self.take(0))

    def close_undeclared(self, accounts: Container[str]) -> None:
        """Close the idle connections of accounts that are not declared.

        Args:
          accounts: The names of the declared accounts.
        """
        for index in reversed(range(len(self.idle))):
            account = self.idle[index].connection.account
            if account and account not in accounts:
                self.take(index).close()
                self.count -= 1
        self.open_more()

    def close_idle_connections(self) -> None:
        """Close all idle connections."""
        while self.idle:
            self.take(-1).close()
            self.count -= 1
