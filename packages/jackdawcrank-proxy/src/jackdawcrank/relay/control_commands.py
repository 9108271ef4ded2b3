"""Control commands of the proxy to backend servers."""

import asyncio
import typing

import attrs

from jackdawcrank.relay.await_reply import await_reply
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.seams.commands import (
    BeginTransaction,
    Command,
    RollbackTransaction,
)
from jackdawcrank.seams.replies import Problem, Reply, ServerStatus
from jackdawcrank.seams.server_connection import (
    NotOpened,
    OpenFailure,
    ServerConnection,
)

if typing.TYPE_CHECKING:
    from jackdawcrank.relay.group_relay import GroupRelay

# Allows four of the longest round trips (80 ms each) and a delayed packet.
COMMAND_TIMEOUT_SECONDS = 0.4
# A handshake needs a slot, and a full server may take several hundred ms to
# provide one.
CONNECT_TIMEOUT_SECONDS = 0.6
# A full server refuses commands, so they are repeated at this interval until
# the time limit.
BUSY_RETRY_SECONDS = 0.03


@attrs.frozen
class PrimaryCheck:
    """Result of a check whether a server is the primary.

    Attributes:
      pool: The server's connection pool.
      alive: Whether the server responded. A refusal because it is full counts
        as a response.
      is_primary: Whether the server is the primary.
      term: The term of the server's last log entry, or 0 if unknown.
    """

    pool: ConnectionPool
    alive: bool
    is_primary: bool = False
    term: int = 0


@attrs.frozen
class StatusResult:
    """Result of a control command that is answered with a status.

    Attributes:
      pool: The server's connection pool.
      status: The server's status, or None if it sent none.
    """

    pool: ConnectionPool
    status: ServerStatus | None


class ControlCommands:
    """Sends control commands to the servers of one group.

    They do not wait in the queues of the callers' statements.

    Attributes:
      group: The group.
    """

    def __init__(self, group: "GroupRelay") -> None:
        self.group = group
        self.loop = asyncio.get_running_loop()

    async def check_primary(self, pool: ConnectionPool) -> PrimaryCheck:
        """Check whether a server is the primary.

        Only the primary opens a read-write transaction. An empty one needs no
        slot, so even a full server answers at once. The primary's answer also
        provides a watermark.

        Args:
          pool: The server's connection pool.
        """
        connection = await pool.acquire_control_connection(
            CONNECT_TIMEOUT_SECONDS
        )
        if isinstance(connection, NotOpened):
            self.group.record_unreachable(pool, connection.failure)
            return PrimaryCheck(pool, connection.failure is OpenFailure.FULL)
        sent_at = boot_seconds()
        replies = await self.exchange(
            pool,
            connection,
            [BeginTransaction(read_only=False), RollbackTransaction()],
        )
        if replies is None:
            return PrimaryCheck(pool, alive=False)
        opened = replies[0]
        pool.condition.position_seen(opened.position)
        term = opened.position.term if opened.position else 0
        is_primary = opened.problem is None
        if pool is self.group.primary_pool():
            self.group.suspicion.answered()
            if is_primary and opened.position:
                self.group.watermarks.add(sent_at, opened.position)
            elif opened.problem is Problem.NOT_PRIMARY:
                self.group.mark_not_primary(pool)
        return PrimaryCheck(pool, True, is_primary, term)

    async def exchange(
        self,
        pool: ConnectionPool,
        connection: ServerConnection,
        commands: list[Command],
    ) -> list[Reply] | None:
        """Send commands and return all replies, or None if one is missing.

        The connection is returned to the pool, or closed if a reply is missing.
        """
        start = self.loop.time()
        replies: list[Reply] = []
        for future in connection.send(commands):
            reply = await await_reply(future, start + COMMAND_TIMEOUT_SECONDS)
            if reply is None:
                self.group.record_unanswered(pool, not connection.closed, start)
                pool.discard(connection)
                return None
            replies.append(reply)
        pool.release(connection)
        return replies

    async def check_primaries(
        self, pools: list[ConnectionPool]
    ) -> list[PrimaryCheck]:
        """Check several servers at the same time.

        Args:
          pools: The servers' connection pools.
        """
        return await asyncio.gather(*(self.check_primary(one) for one in pools))

    async def send_command(
        self, pool: ConnectionPool, command: Command
    ) -> StatusResult:
        """Send a command that is answered with a status.

        The command is repeated while the server is full.

        Args:
          pool: The server's connection pool.
          command: The command.
        """
        deadline = self.loop.time() + COMMAND_TIMEOUT_SECONDS
        while True:
            connection = await pool.acquire_control_connection(
                CONNECT_TIMEOUT_SECONDS
            )
            if isinstance(connection, NotOpened):
                self.group.record_unreachable(pool, connection.failure)
                return StatusResult(pool, None)
            replies = await self.exchange(pool, connection, [command])
            if replies is None:
                return StatusResult(pool, None)
            [reply] = replies
            full = reply.problem is Problem.BUSY
            if not full or self.loop.time() >= deadline:
                return StatusResult(pool, self.status(connection, reply))
            await asyncio.sleep(BUSY_RETRY_SECONDS)

    def status(
        self, connection: ServerConnection, reply: Reply
    ) -> ServerStatus | None:
        """Return the status in a reply; log a reply without one."""
        status = connection.status_of(reply)
        if status is None:
            self.group.log.event(
                "status_refused",
                group=self.group.name,
                problem=reply.problem.value if reply.problem else "",
                detail=reply.detail,
            )
        return status

    async def send_to_all(
        self, pools: list[ConnectionPool], command: Command
    ) -> list[StatusResult]:
        """Send a command to several servers at the same time.

        Args:
          pools: The servers' connection pools.
          command: The command.
        """
        return await asyncio.gather(
            *(self.send_command(one, command) for one in pools)
        )
