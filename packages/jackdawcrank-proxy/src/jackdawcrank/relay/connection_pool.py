"""Pool of this proxy's connections to one backend server."""

import asyncio

from jackdawcrank.relay.connection_opening import OPEN_TIMEOUT_SECONDS
from jackdawcrank.relay.connection_requests import (
    AccountShares,
    ConnectionRequest,
    OpenResult,
    WaitLimitExceeded,
)
from jackdawcrank.relay.request_dispatch import RequestDispatch
from jackdawcrank.relay.statement_limiter import (
    TRANSACTION_PRIORITY,
    LimiterResult,
)
from jackdawcrank.seams.server_connection import (
    NotOpened,
    OpenFailure,
    ServerConnection,
)
from jackdawcrank_policy.sessions import SessionContext
from jackdawcrank_policy.waiting import WaitLimits

__all__ = ["OPEN_TIMEOUT_SECONDS", "ConnectionPool", "WaitLimitExceeded"]


class ConnectionPool(RequestDispatch):
    """Connection pool of one server, with a queue ordered by priority.

    The requests of one priority are served fairly by account. The connections
    are kept by `PoolConnections`, opened by `ConnectionOpening` and given away
    by `RequestDispatch`.
    """

    async def acquire(
        self,
        context: SessionContext,
        limits: WaitLimits,
        account: str = "",
        transaction: bool = False,
    ) -> OpenResult | WaitLimitExceeded:
        """Return a connection on which a statement may be sent.

        Waits for a connection if all are in use, and then for the limiter.

        Args:
          context: The session's settings and prepared statements. The idle
            connection that differs least from them is preferred.
          limits: Priority and wait limits of the statement, in seconds on the
            loop's clock.
          account: The client account of the statement; empty for none.
          transaction: Whether a transaction will hold the connection.

        Returns:
          The connection, why none could be opened, or that the wait limit was
          exceeded.
        """
        began = self.loop.time()
        result: OpenResult | WaitLimitExceeded | None = None
        try:
            result = await self.connect_and_enter(
                context, limits, account, transaction
            )
        finally:
            self.queue_statistics.admission_ended(
                limits.priority,
                account,
                self.loop.time() - began,
                isinstance(result, WaitLimitExceeded),
                isinstance(result, NotOpened)
                and result.failure is OpenFailure.FULL,
            )
        return result

    async def connect_and_enter(
        self,
        context: SessionContext,
        limits: WaitLimits,
        account: str,
        transaction: bool,
    ) -> OpenResult | WaitLimitExceeded:
        """Wait for a connection if all are in use, and then for the limiter.

        Args:
          context: The session's settings and prepared statements.
          limits: Priority and wait limits of the statement.
          account: The client account of the statement; empty for none.
          transaction: Whether a transaction will hold the connection.
        """
        granted = await self.connect(context, limits, account, transaction)
        if isinstance(granted, (NotOpened, WaitLimitExceeded)):
            return granted
        # The connection is acquired before the limiter, since a statement that
        # the limiter has admitted must not wait for a connection: transactions
        # keep their connections while their statements wait for the limiter.
        try:
            result = await self.limiter.enter(limits, account, granted)
        except asyncio.CancelledError:
            self.release(granted)
            raise
        if result is LimiterResult.GRANTED:
            self.executing[granted] = self.loop.time()
            return granted
        if result is LimiterResult.CONNECTION_LOST:
            # Nothing was sent, so the statement may use another connection.
            self.discard(granted)
            self.on_lost()
            return await self.connect_and_enter(
                context, limits, account, transaction
            )
        self.release(granted)
        return WaitLimitExceeded()

    async def connect(
        self,
        context: SessionContext,
        limits: WaitLimits,
        account: str,
        transaction: bool,
    ) -> OpenResult | WaitLimitExceeded:
        """Return an idle or new connection, or wait for one.

        Args:
          context: The session's settings and prepared statements.
          limits: Priority and wait limits of the statement.
          account: The client account of the statement; empty for none.
          transaction: Whether a transaction will hold the connection.
        """
        now = self.loop.time()
        deadline = self.overload_detector.wait_deadline(
            now, self.queue.length, limits
        )
        granted: asyncio.Future[OpenResult] = self.loop.create_future()
        request = ConnectionRequest(
            account, limits.priority, now, granted, transaction
        )
        if AccountShares(self).may_serve(request):
            connection = self.take_idle(context, account)
            if connection is not None:
                if transaction:
                    self.transactions.add(connection)
                return self.check_out(connection)
        ahead = self.queue.ahead_of(limits.priority, account)
        wait = self.wait_estimator.wait_seconds(ahead, self.limit)
        if self.count >= self.limit and now + wait >= deadline:
            return WaitLimitExceeded()
        waiter = self.queue.enqueue(limits.priority, deadline, request, account)
        self.waiting_transactions += transaction
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
            self.waiting_transactions -= transaction
            if self.waiting_transactions and account:
                # A transaction of another account may be served now.
                self.open_more()

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
        account = account or connection.account
        began = self.loop.time()
        result: LimiterResult | None = None
        try:
            result = await self.limiter.enter(limits, account, connection)
        finally:
            self.queue_statistics.admission_ended(
                TRANSACTION_PRIORITY,
                account,
                self.loop.time() - began,
                result is LimiterResult.WAIT_LIMIT_EXCEEDED,
            )
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
