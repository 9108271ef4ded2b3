"""Pool of this proxy's connections to one backend server."""

import asyncio
import functools
from collections.abc import Callable

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.statement_limiter import (
    TRANSACTION_PRIORITY,
    LimiterResult,
    StatementLimiter,
)
from jackdawcrank.seams.replies import SessionState
from jackdawcrank.seams.server_connection import (
    ConnectionOpener,
    NotOpened,
    OpenFailure,
    ServerConnection,
)
from jackdawcrank_policy.catalog import ListedServer
from jackdawcrank_policy.placement import ServerCondition
from jackdawcrank_policy.sessions import SessionContext
from jackdawcrank_policy.waiting import (
    OverloadDetector,
    PriorityWaitQueue,
    WaitEstimator,
    WaitLimits,
)

# Exceeds two round trips between regions (40 ms each), a handshake that waits
# for slots of a full server (27 ms each) and a delayed packet.
OPEN_TIMEOUT_SECONDS = 1.0
# With a smaller window, a slot would be idle for a round trip between regions
# after each statement.
MIN_WINDOW = 2.0
# Connections that are idle for longer are closed, so that other proxies can
# use the server's slots.
IDLE_SECONDS = 12.0
# Delay before the next attempt to connect to a full server, in which other
# proxies may close connections.
FULL_PAUSE_SECONDS = 0.25
# A handshake occupies one of the server's slots (3 to 6) for 12 to 27 ms, and
# many proxies connect at the same time when all of them start.
MAX_OPENING = 1

OpenResult = ServerConnection | NotOpened


@attrs.frozen
class WaitLimitExceeded:
    """The wait limit passed, or would pass before the statement is sent."""


@attrs.frozen
class ConnectionRequest:
    """A request that waits for a connection.

    Attributes:
      account: The client account that needs the connection; empty for none.
      granted: Receives the connection, or why none was opened.
    """

    account: str
    granted: asyncio.Future[OpenResult]


@attrs.frozen
class IdleConnection:
    """An idle connection.

    Attributes:
      connection: The connection.
      since: When it became idle, in seconds on the loop's clock.
    """

    connection: ServerConnection
    since: float


class ConnectionPool:
    """Connection pool of one server, with a queue ordered by priority.

    Attributes:
      server: The server's latest report.
      opener: Opens connections.
      limit: Maximum number of connections of this proxy.
      condition: State of the server as observed by this proxy.
      idle: Idle connections, the most recently used last.
      count: Number of connections that are open or being opened.
      opening: Number of connections that are being opened.
      full_until: No connection is opened before this time, in seconds on the
        loop's clock, because the server was full.
      in_use: The time at which each connection in use was checked out, in
        seconds on the loop's clock.
      queue: Requests that wait for a connection.
      wait_estimator: Estimates queue waits from how long connections are in
        use.
      overload_detector: Sets the wait limit of new requests.
      limiter: Limits the statements in flight on the server.
      executing: The time at which each connection with a statement in flight
        started it, in seconds on the loop's clock.
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
        self.full_until = 0.0
        self.limiter = StatementLimiter(
            max(MIN_WINDOW, window), limit, log.measurements.waited
        )
        self.executing: dict[ServerConnection, float] = {}
        self.wait_estimator = WaitEstimator()
        self.overload_detector = OverloadDetector()
        self.in_use: dict[ServerConnection, float] = {}
        self.queue: PriorityWaitQueue[ConnectionRequest] = PriorityWaitQueue()
        self.retired = False
        self.tasks: set[asyncio.Task[None]] = set()
        self.loop = asyncio.get_running_loop()

    async def acquire(
        self, context: SessionContext, limits: WaitLimits, account: str = ""
    ) -> OpenResult | WaitLimitExceeded:
        """Return a connection on which a statement may be sent.

        Waits for a connection if all are in use, and then for the limiter.

        Args:
          context: The session's settings and prepared statements. The idle
            connection that differs least from them is preferred.
          limits: Priority and wait limits of the statement, in seconds on the
            loop's clock.
          account: The client account of the statement; empty for none.

        Returns:
          The connection, why none could be opened, or that the wait limit was
          exceeded.
        """
        granted = await self.connect(context, limits, account)
        if isinstance(granted, (NotOpened, WaitLimitExceeded)):
            return granted
        # The connection is acquired before the limiter, since a statement that
        # the limiter has admitted must not wait for a connection: transactions
        # keep their connections while their statements wait for the limiter.
        if await self.limiter.enter(limits) is LimiterResult.GRANTED:
            self.executing[granted] = self.loop.time()
            return granted
        self.release(granted)
        return WaitLimitExceeded()

    async def connect(
        self, context: SessionContext, limits: WaitLimits, account: str
    ) -> OpenResult | WaitLimitExceeded:
        """Return an idle or new connection, or wait for one."""
        now = self.loop.time()
        deadline = self.overload_detector.wait_deadline(
            now, self.queue.length, limits
        )
        connection = self.take_idle(context, account)
        if connection is not None:
            return self.check_out(connection)
        ahead = self.queue.ahead_of(limits.priority)
        wait = self.wait_estimator.wait_seconds(ahead, self.limit)
        if self.count >= self.limit and now + wait >= deadline:
            return WaitLimitExceeded()
        granted: asyncio.Future[OpenResult] = self.loop.create_future()
        request = ConnectionRequest(account, granted)
        waiter = self.queue.enqueue(limits.priority, deadline, request)
        self.open_more()
        try:
            async with asyncio.timeout_at(deadline):
                return self.check_out(await granted)
        except TimeoutError:
            if granted.done() and not granted.cancelled():
                return self.check_out(granted.result())
            return WaitLimitExceeded()
        finally:
            self.queue.cancel(waiter)

    def check_out(self, granted: OpenResult) -> OpenResult:
        """Record that a connection is in use from now on."""
        if not isinstance(granted, NotOpened):
            self.in_use[granted] = self.loop.time()
            self.condition.running = len(self.in_use)
        return granted

    def check_in(self, connection: ServerConnection) -> None:
        """Record that a connection is no longer in use."""
        self.end_statement(connection)
        used_since = self.in_use.pop(connection, None)
        if used_since is not None:
            self.wait_estimator.record_hold(self.loop.time() - used_since)
            self.condition.running = len(self.in_use)

    def end_statement(self, connection: ServerConnection) -> None:
        """Record that a connection in use has no statement in flight."""
        sent_at = self.executing.pop(connection, None)
        if sent_at is not None:
            self.limiter.leave(self.loop.time() - sent_at)
            self.open_more()

    async def begin_statement(
        self, connection: ServerConnection, deadline: float
    ) -> bool:
        """Wait until a transaction's next statement may be sent.

        Returns False if the deadline passed or if the connection was returned
        to the pool or closed in the meantime.

        Args:
          connection: The transaction's connection.
          deadline: End of the wait, in seconds on the loop's clock.
        """
        limits = WaitLimits(TRANSACTION_PRIORITY, deadline, deadline)
        if await self.limiter.enter(limits) is not LimiterResult.GRANTED:
            return False
        if connection not in self.in_use:
            self.limiter.leave(0.0)
            return False
        self.executing[connection] = self.loop.time()
        return True

    def queue_nonempty_seconds(self) -> float:
        """Return for how long a queue has been non-empty, in seconds."""
        now = self.loop.time()
        queues = (
            (self.queue, self.overload_detector),
            (self.limiter.queue, self.limiter.overload_detector),
        )
        return max(
            detector.nonempty_seconds(now) if queue.length else 0.0
            for queue, detector in queues
        )

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
        while self.idle:
            connection = self.take(-1)
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
            usable = [
                index
                for index, one in enumerate(self.idle)
                if one.connection.account == account
            ]
            if not usable:
                return None
            best = min(
                usable,
                key=lambda index: (
                    self.idle[index].connection.context.count_differences(
                        context
                    ),
                    -index,
                ),
            )
            connection = self.take(best)
            if not connection.closed:
                return connection
            self.count -= 1

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
        now = self.loop.time()
        while (waiter := self.queue.head(now)) is not None:
            request = waiter.item
            if request.account != connection.account:
                break
            self.queue.pop(now)
            if not request.granted.done():
                request.granted.set_result(connection)
                return
        self.idle.append(IdleConnection(connection, now))
        connection.on_closed = functools.partial(self.idle_closed, connection)
        if waiter is not None:
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

    def open_more(self) -> None:
        """Open a connection if a request waits that could use it now."""
        if self.retired or self.loop.time() < self.full_until:
            return
        # A request with a new connection would only wait for the limiter.
        if not self.limiter.has_room():
            return
        waiter = self.queue.head(self.loop.time())
        if waiter is None or self.opening >= MAX_OPENING:
            return
        if self.count >= self.limit and self.idle:
            # It belongs to another account, or it would have been used.
            self.take(0).close()
            self.count -= 1
        if self.count < self.limit:
            self.start_opening(waiter.item.account)

    def start_opening(self, account: str) -> None:
        """Start to open one connection for an account."""
        self.count += 1
        self.opening += 1
        task = self.loop.create_task(self.open_one(account))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def open_one(self, account: str) -> None:
        """Open one connection for an account and pass it to a waiting request."""
        outcome: OpenResult = NotOpened(
            OpenFailure.REFUSED, "opening was cancelled"
        )
        try:
            outcome = await self.opener.open(
                self.server, OPEN_TIMEOUT_SECONDS, account
            )
        finally:
            self.opening -= 1
            if isinstance(outcome, NotOpened):
                self.count -= 1
        if isinstance(outcome, NotOpened):
            self.open_failed(outcome)
        else:
            self.condition.position_seen(outcome.first_position)
            self.release(outcome)
        # The request that got this connection enters the limiter first.
        self.loop.call_soon(self.open_more)

    def open_failed(self, outcome: NotOpened) -> None:
        """Fail the waiting requests, as no connection could be opened.

        If the server is full and connections are open, the requests continue
        to wait for one of these.

        Args:
          outcome: The reason.
        """
        now = self.loop.time()
        self.log.event(
            "connection_failed",
            server=self.server.server_id,
            group=self.server.group,
            reason=outcome.failure.value,
            detail=outcome.detail,
            held=self.count,
        )
        if outcome.failure is OpenFailure.FULL:
            self.full_until = now + FULL_PAUSE_SECONDS
            self.loop.call_later(FULL_PAUSE_SECONDS, self.open_more)
            if self.count:
                return
        else:
            self.condition.failed(now)
        for waiting in self.queue.clear():
            if not waiting.granted.done():
                waiting.granted.set_result(outcome)

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

    def close_idle_connections(self) -> None:
        """Close all idle connections."""
        while self.idle:
            self.take(-1).close()
            self.count -= 1

    def retire(self) -> None:
        """Close idle connections and fail the waiting requests.

        Connections in use are closed when they are returned.
        """
        self.retired = True
        self.close_idle_connections()
        server_removed = NotOpened(
            OpenFailure.WRONG_SERVER, "the server was removed"
        )
        for waiting in self.queue.clear():
            if not waiting.granted.done():
                waiting.granted.set_result(server_removed)
