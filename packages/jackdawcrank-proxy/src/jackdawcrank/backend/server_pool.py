"""Connection pool of one proxy for one backend server."""

import asyncio
import collections
import contextlib
import time
from collections.abc import Callable

import attrs

from jackdawcrank.backend.endpoint import Endpoint
from jackdawcrank.backend.server_connection import (
    ConnectFailed,
    ServerConnection,
)
from jackdawcrank.tasks import cancel_and_wait

CONNECT_TIMEOUT_SECONDS = 2.0
RESET_TIMEOUT_SECONDS = 1.0
PING_TIMEOUT_SECONDS = 0.5
IDLE_CHECK_SECONDS = 1.0
MAX_SILENCE_SECONDS = 10.0
LATE_ANSWER_SECONDS = 1.0


@attrs.frozen
class PoolExhausted:
    """No connection became available in time.

    Attributes:
      detail: A human-readable explanation.
    """

    detail: str


class ServerPool:
    """A bounded pool of connections to one backend server.

    A connection serves one transaction at a time. It is reset before reuse if
    session state may remain, pinged before reuse if another connection to the
    server was lost since its last answer, and closed after an incomplete
    answer. Only the connection that has been idle longest is pinged
    periodically; the others are pinged if it does not answer.

    Attributes:
      endpoint: The server's address and credentials.
      limit: The maximum number of connections; may be changed at any time.
      warm: The number of connections to keep open in advance.
      in_use: The number of connections in use or being checked.
      silent_at: Monotonic time at which an idle connection last failed to
        answer a ping, in seconds.
      draining: Whether the pool refuses to hand out connections.
      idle: The connections that are available.
      busy: The connections that are handed out.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        limit: int,
        warm: int,
        on_drop: Callable[[str, str], None] = lambda server, why: None,
    ) -> None:
        self.endpoint = endpoint
        self.limit = limit
        self.warm = warm
        self.on_drop = on_drop
        self.in_use = 0
        self.opening = 0
        self.draining = False
        self.last_loss_at = 0.0
        self.silent_at = 0.0
        self.pinged_at = 0.0
        self.idle: list[ServerConnection] = []
        self.busy: set[ServerConnection] = set()
        self.waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self.tasks: set[asyncio.Task[None]] = set()
        self.maintenance_task: asyncio.Task[None] | None = None

    @property
    def open_count(self) -> int:
        """Return the number of connections, including ones being opened."""
        return len(self.idle) + self.in_use + self.opening

    def start(self) -> None:
        """Start the periodic checks and the opening of warm connections."""
        self.maintenance_task = asyncio.create_task(self._maintain())

    async def close(self) -> None:
        """Close all idle connections and stop the background tasks."""
        self.draining = True
        tasks = {*self.tasks}
        if self.maintenance_task is not None:
            tasks.add(self.maintenance_task)
        await cancel_and_wait(tasks)
        self._close_idle()
        self._wake_all()

    async def acquire(
        self, timeout_seconds: float
    ) -> ServerConnection | ConnectFailed | PoolExhausted:
        """Return an available connection, opening one if necessary.

        Args:
          timeout_seconds: The maximum duration, in seconds.
        """
        deadline = time.monotonic() + timeout_seconds
        while not self.draining:
            connection = await self._take_idle()
            if connection is not None:
                self.busy.add(connection)
                return connection
            if self.open_count < self.limit:
                remaining = deadline - time.monotonic()
                return await self._open(remaining)
            if not await self._wait_for_release(deadline):
                return PoolExhausted("every connection is in use")
        return PoolExhausted("the server is leaving")

    def release(self, connection: ServerConnection) -> None:
        """Return a connection to the pool.

        Args:
          connection: A connection from `acquire`; a dirty one is reset first.
        """
        if connection.usable and connection.dirty and not self.draining:
            task = asyncio.create_task(self._reset_and_release(connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            return
        self._finish_release(connection)

    def drain(self) -> None:
        """Refuse to hand out connections and close the idle ones."""
        self.draining = True
        self._close_idle()
        self._wake_all()

    async def _reset_and_release(self, connection: ServerConnection) -> None:
        try:
            await connection.reset(RESET_TIMEOUT_SECONDS)
        finally:
            self._finish_release(connection)

    def _finish_release(self, connection: ServerConnection) -> None:
        self.in_use -= 1
        self.busy.discard(connection)
        if not connection.usable:
            self._drop(connection, "lost")
        elif self.draining or self.open_count >= self.limit:
            connection.close()
        else:
            self.idle.append(connection)
        self._wake_one()

    async def _take_idle(self) -> ServerConnection | None:
        while self.idle:
            connection = self.idle.pop()
            self.in_use += 1
            if connection.ended:
                self.in_use -= 1
                self._drop(connection, "lost")
                continue
            if connection.last_answer_at >= self.last_loss_at:
                return connection
            if await self._is_alive(connection):
                return connection
            self.in_use -= 1
            self._drop(connection, "silent")
        return None

    async def _is_alive(self, connection: ServerConnection) -> bool:
        try:
            answered = await connection.ping(PING_TIMEOUT_SECONDS)
        except asyncio.CancelledError:
            self.in_use -= 1
            self._wake_one()
            raise
        if not answered:
            self.silent_at = time.monotonic()
        return answered

    async def _open(
        self, timeout_seconds: float
    ) -> ServerConnection | ConnectFailed | PoolExhausted:
        if timeout_seconds <= 0:
            return PoolExhausted("no time left to connect")
        self.opening += 1
        try:
            connection = await ServerConnection.open(
                self.endpoint, min(timeout_seconds, CONNECT_TIMEOUT_SECONDS)
            )
        finally:
            self.opening -= 1
        if isinstance(connection, ConnectFailed):
            self._wake_one()
            return connection
        self.in_use += 1
        self.busy.add(connection)
        return connection

    async def _wait_for_release(self, deadline: float) -> bool:
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        try:
            async with asyncio.timeout(deadline - time.monotonic()):
                await waiter
        except TimeoutError:
            return False
        except asyncio.CancelledError:
            if waiter.done():
                self._wake_one()
            raise
        finally:
            with contextlib.suppress(ValueError):
                self.waiters.remove(waiter)
        return True

    def _wake_one(self) -> None:
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def _wake_all(self) -> None:
        while self.waiters:
            self._wake_one()

    def _drop(self, connection: ServerConnection, why: str) -> None:
        self.last_loss_at = time.monotonic()
        connection.close()
        self.on_drop(self.endpoint.server, why)

    def _close_idle(self) -> None:
        while self.idle:
            self.idle.pop().close()

    async def _maintain(self) -> None:
        while True:
            self._drop_ended()
            if self._answer_is_late():
                await self._drop_silent_busy()
            await self._check_oldest_idle()
            await self._open_warm_connections()
            await asyncio.sleep(IDLE_CHECK_SECONDS)

    def _drop_ended(self) -> None:
        for connection in tuple(self.idle):
            if connection.ended:
                self.idle.remove(connection)
                self._drop(connection, "lost")

    async def _check_oldest_idle(self) -> None:
        stale_before = time.monotonic() - MAX_SILENCE_SECONDS
        if not self.idle or self.pinged_at > stale_before:
            return
        connection = min(self.idle, key=lambda one: one.last_answer_at)
        if connection.last_answer_at > stale_before:
            return
        self.pinged_at = time.monotonic()
        self.idle.remove(connection)
        self.in_use += 1
        answered = await self._is_alive(connection)
        self._finish_release(connection)
        if not answered:
            await self._check_all_idle()

    async def _check_all_idle(self) -> bool:
        """Ping all idle connections; return whether any did not answer."""
        idle = list(self.idle)
        self.idle.clear()
        self.in_use += len(idle)
        answers = await asyncio.gather(*map(self._is_alive, idle))
        for connection in idle:
            self._finish_release(connection)
        return not all(answers)

    def _answer_is_late(self) -> bool:
        return any(map(_is_late, self.busy))

    async def _drop_silent_busy(self) -> None:
        """Close connections that are dead rather than running slow statements.

        If idle connections do not answer either, or have not done so since the
        busy ones last answered, but a new one can be opened, a network device
        in between has dropped the state of the old ones. Without such idle
        connections, this is known only of a connection that awaits the answer
        to a statement that no server runs slowly.
        """
        suspected = {
            connection: connection.statement_sent_at
            for connection in self.busy
            if connection.statement_sent_at is not None
        }
        if not await self._check_all_idle():
            # Silent idle connections may have been replaced already.
            suspected = {
                connection: sent_at
                for connection, sent_at in suspected.items()
                if connection.last_answer_at < self.silent_at
                or (connection.prompt and _is_late(connection))
            }
        if not suspected:
            return
        fresh = await self._open(CONNECT_TIMEOUT_SECONDS)
        if not isinstance(fresh, ServerConnection):
            return
        self._finish_release(fresh)
        for connection, sent_at in suspected.items():
            # One that has answered meanwhile may run another statement.
            if (
                connection in self.busy
                and connection.statement_sent_at == sent_at
            ):
                self.on_drop(self.endpoint.server, "silent")
                connection.close()

    async def _open_warm_connections(self) -> None:
        wanted = min(self.warm, self.limit)
        while self.open_count < wanted and not self.draining:
            connection = await self._open(CONNECT_TIMEOUT_SECONDS)
            if not isinstance(connection, ServerConnection):
                return
            self._finish_release(connection)


def _is_late(connection: ServerConnection) -> bool:
    """Return whether the answer to a running statement is late."""
    sent_at = connection.statement_sent_at
    if sent_at is None:
        return False
    return sent_at < time.monotonic() - LATE_ANSWER_SECONDS
