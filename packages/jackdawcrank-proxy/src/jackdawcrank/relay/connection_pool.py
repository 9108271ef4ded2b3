"""Pool of this proxy's connections to one backend server."""

import asyncio
import collections
import functools
from collections.abc import Callable, Container

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
from jackdawcrank_policy.accounts.connection_choice import (
    REUSE_SECONDS,
    AccountUse,
    WaitingRequest,
    choose_control,
    choose_eviction,
    choose_idle,
    choose_waiter,
    fair_share,
    may_evict,
)
from jackdawcrank_policy.catalog import ListedServer
from jackdawcrank_policy.placement import ServerCondition
from jackdawcrank_policy.sessions import SessionContext
from jackdawcrank_policy.waiting import (
    OverloadDetector,
    WaitEstimator,
    WaitLimits,
)
from jackdawcrank_policy.waiting.fair_wait_queue import (
    FairWaitEntry,
    FairWaitQueue,
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
# Each account needs connections of its own. Two at a time take half of the
# slots of a server that has 4.
MAX_OPENING_FOR_ACCOUNTS = 2

OpenResult = ServerConnection | NotOpened


@attrs.frozen
class WaitLimitExceeded:
    """The wait limit passed, or would pass before the statement is sent."""


@attrs.frozen
class ConnectionRequest:
    """A request that waits for a connection.

    Attributes:
      account: The client account that needs the connection; empty for none.
      since: When it began to wait, in seconds on the loop's clock.
      granted: Receives the connection, or why none was opened.
    """

    account: str
    since: float
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


Waiter = FairWaitEntry[ConnectionRequest]


class AccountShares:
    """The connections that accounts hold and their shares, at one moment.

    Attributes:
      pool: The pool.
    """

    def __init__(self, pool: "ConnectionPool") -> None:
        self.pool = pool

    @functools.cached_property
    def held(self) -> collections.Counter[str]:
        """The number of connections in use and being opened, by account."""
        held = collections.Counter(one.account for one in self.pool.in_use)
        held.update(self.pool.opening_for)
        return held

    @functools.cached_property
    def active(self) -> int:
        """The number of accounts that hold connections or wait for one."""
        waiting = self.pool.queue.waiting_accounts()
        return max(1, len(waiting | self.held.keys()))

    def holds_connections(self, account: str) -> bool:
        """Return whether an account holds its share of the connections."""
        share = fair_share(self.pool.limit, self.active)
        return self.held[account] >= share

    def holds_slots(self, account: str) -> bool:
        """Return whether an account can fill its share of the limiter."""
        share = fair_share(self.pool.limiter.window.size, self.active)
        return self.held[account] >= share


class ConnectionPool:
    """Connection pool of one server, with a queue ordered by priority.

    Each connection belongs to one client account, or to callers without one.
    The requests of one priority are served fairly by account.

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
        self.limiter = StatementLimiter(
            max(MIN_WINDOW, window), limit, log.measurements.waited
        )
        self.executing: dict[ServerConnection, float] = {}
        self.wait_estimator = WaitEstimator()
        self.overload_detector = OverloadDetector()
        self.in_use: dict[ServerConnection, float] = {}
        self.queue: FairWaitQueue[ConnectionRequest] = FairWaitQueue()
        self.reuse_handle: asyncio.TimerHandle | None = None
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
        try:
            result = await self.limiter.enter(limits, account)
        except asyncio.CancelledError:
            self.release(granted)
            raise
        if result is LimiterResult.GRANTED:
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
        if self.count >= self.limit or not self.limiter.has_room():
            self.limiter.contention.waited(self.demand() + 1)
        ahead = self.queue.ahead_of(limits.priority, account)
        wait = self.wait_estimator.wait_seconds(ahead, self.limit)
        if self.count >= self.limit and now + wait >= deadline:
            return WaitLimitExceeded()
        granted: asyncio.Future[OpenResult] = self.loop.create_future()
        request = ConnectionRequest(account, now, granted)
        waiter = self.queue.enqueue(limits.priority, deadline, request, account)
        self.open_more()
        try:
            async with asyncio.timeout_at(deadline):
                return self.check_out(await granted)
        except TimeoutError:
            if granted.done() and not granted.cancelled():
                return self.check_out(granted.result())
            return WaitLimitExceeded()
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                result = granted.result()
                if not isinstance(result, NotOpened):
                    self.release(result)
            raise
        finally:
            self.queue.cancel(waiter)

    def demand(self) -> int:
        """Return the number of statements in flight and waiting."""
        return self.queue.length + self.limiter.demand()

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

    async def begin_statement(
        self, connection: ServerConnection, deadline: float, account: str = ""
    ) -> bool:
        """Wait until a transaction's next statement may be sent.

        Returns False if the deadline passed or if the connection was returned
        to the pool or closed in the meantime.

        Args:
          connection: The transaction's connection.
          deadline: End of the wait, in seconds on the loop's clock.
          account: The client account of the statement; that of the connection
            if empty.
        """
        limits = WaitLimits(TRANSACTION_PRIORITY, deadline, deadline)
        used_since = self.in_use.get(connection)
        result = await self.limiter.enter(limits, account or connection.account)
        if result is not LimiterResult.GRANTED:
            return False
        # The connection may serve another request by now.
        if used_since is None or self.in_use.get(connection) != used_since:
            self.limiter.leave(0.0)
            self.open_more()
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

    def open_more(self) -> None:
        """Serve waiting requests, and open connections that they could use."""
        while self.serve_next():
            pass

    def serve_next(self) -> bool:
        """Give away one idle connection or start to open one.

        Returns:
          Whether more requests may be served now.
        """
        if self.retired or not self.queue.length:
            return False
        now = self.loop.time()
        shares = AccountShares(self)
        waiter = self.next_waiter(now, shares)
        if waiter is None:
            return False
        index = choose_idle(
            self.idle_accounts(), waiter.account, lambda _index: 0
        )
        if index is not None:
            self.grant(waiter, index)
            return False
        can_open = self.can_open_for(waiter, now, shares)
        if can_open and self.count < self.limit:
            self.start_opening(waiter.account)
            return True
        holds_share = shares.holds_connections(waiter.account)
        request = waiting_request(waiter, now)
        if self.serve_own(request, can_open, holds_share, now):
            return False
        if not can_open or not may_evict(request, holds_share):
            self.serve_after_reuse(request)
            return False
        return self.replace_idle(waiter.account)

    def serve_after_reuse(self, request: WaitingRequest) -> None:
        """Serve again once a request has waited for `REUSE_SECONDS`.

        From then on it may get a connection that it may not get now, and
        nothing else need happen in the pool until then.

        Args:
          request: The next request.
        """
        left = REUSE_SECONDS - request.waited_seconds
        if left > 0 and self.queue.has_accounts() and not self.reuse_handle:
            self.reuse_handle = self.loop.call_later(left, self.reuse_ended)

    def reuse_ended(self) -> None:
        """Serve requests that have waited for `REUSE_SECONDS`."""
        self.reuse_handle = None
        self.open_more()

    def replace_idle(self, account: str) -> bool:
        """Close an idle connection and start to open one for an account.

        Returns False if no connection is idle or the pool has too many.

        Args:
          account: The client account; no idle connection is of it.
        """
        index = choose_eviction(self.idle_accounts(), self.account_use.counts)
        if index is None or self.count > self.limit:
            return False
        self.take(index).close()
        self.count -= 1
        self.start_opening(account)
        return True

    def next_waiter(self, now: float, shares: AccountShares) -> Waiter | None:
        """Return the request to serve next, or None.

        It is the first one that an idle connection serves or that no
        connection is being opened for. While all connections are open, requests
        of accounts that hold their share of them come last: they get those that
        their accounts return.
        """
        if not self.queue.has_accounts() and not self.opening:
            return self.queue.head(now)
        opening = self.opening_for.copy()
        idle = set(self.idle_accounts())
        with_share = None
        for waiter in self.queue.in_order(now):
            account = waiter.account
            if account in idle:
                return waiter
            if opening[account] > 0:
                opening[account] -= 1
            elif self.count < self.limit or not shares.holds_connections(
                account
            ):
                return waiter
            elif with_share is None:
                with_share = waiter
        return with_share

    def grant(self, waiter: Waiter, index: int) -> None:
        """Pass an idle connection to a waiting request of its account."""
        by_account = self.queue.has_accounts()
        if waiter.item.granted.done():
            # The request was cancelled and has not left the queue yet.
            self.queue.cancel(waiter)
            self.loop.call_soon(self.open_more)
            return
        connection = self.take(index)
        if connection.closed:
            self.count -= 1
            self.loop.call_soon(self.open_more)
            return
        self.queue.serve(waiter)
        waiter.item.granted.set_result(connection)
        if by_account:
            # The request enters the limiter first.
            self.loop.call_soon(self.open_more)

    def serve_own(
        self,
        first: WaitingRequest,
        can_open: bool,
        holds_share: bool,
        now: float,
    ) -> bool:
        """Serve a request of an idle connection's account before the first.

        Args:
          first: The next request; no idle connection is of its account.
          can_open: Whether a connection may be opened for it.
          holds_share: Whether its account holds its share of the connections.
          now: The current time, in seconds on the loop's clock.
        """
        for index in reversed(range(len(self.idle))):
            own = self.queue.head_of(self.idle[index].connection.account, now)
            request = waiting_request(own, now) if own else None
            chosen = choose_waiter(first, request, can_open, holds_share)
            if own is not None and chosen is not None:
                self.grant(own, index)
                return True
        return False

    def can_open_for(
        self, waiter: Waiter, now: float, shares: AccountShares
    ) -> bool:
        """Return whether a connection may be opened for a request now."""
        if now < self.full_until:
            return False
        if not self.queue.has_accounts():
            # A request with a new connection would only wait for the limiter.
            return self.opening < MAX_OPENING and self.limiter.has_room()
        if self.opening >= MAX_OPENING_FOR_ACCOUNTS:
            return False
        # The limiter may be filled by other accounts for as long as they send
        # statements.
        return self.limiter.has_room() or (
            now - waiter.item.since >= REUSE_SECONDS
            and not shares.holds_slots(waiter.account)
        )

    def start_opening(self, account: str) -> None:
        """Start to open one connection for an account."""
        self.count += 1
        self.opening += 1
        self.opening_for[account] += 1
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
            self.opening_for[account] -= 1
            self.opening_for += collections.Counter()
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


def waiting_request(waiter: Waiter, now: float) -> WaitingRequest:
    """Return a waiting request as the choices of policy see it.

    Args:
      waiter: Its entry in the queue.
      now: The current time, in seconds on the loop's clock.
    """
    return WaitingRequest(
        waiter.account, waiter.priority, now - waiter.item.since
    )
