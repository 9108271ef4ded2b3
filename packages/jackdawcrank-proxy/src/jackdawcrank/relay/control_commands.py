"""Questions and orders of the proxy itself to backend servers."""

import asyncio
import typing

import attrs

from jackdawcrank.relay.await_reply import await_reply
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.seams.commands import (
    Command,
    OpenTransaction,
    UndoTransaction,
)
from jackdawcrank.seams.replies import Problem, Reply, ServerStatus
from jackdawcrank.seams.server_link import (
    NotOpened,
    OpenFailure,
    ServerLink,
)

if typing.TYPE_CHECKING:
    from jackdawcrank.relay.group_relay import GroupRelay

# Four times the farthest round trip (80 ms) and a delayed packet.
COMMAND_TIMEOUT_SECONDS = 0.4
# A handshake needs a slot, which a full server has after some hundred ms.
CONNECT_TIMEOUT_SECONDS = 0.6
# A full server refuses orders; it is asked again until the time is up.
BUSY_RETRY_SECONDS = 0.03


@attrs.frozen
class PrimaryCheck:
    """What a server answered to the question whether it leads.

    Attributes:
      pool: The server's connections.
      alive: Whether it answered at all.
      is_primary: Whether it leads.
      term: The term of its last log entry; 0 if it did not say.
    """

    pool: ConnectionPool
    alive: bool
    is_primary: bool = False
    term: int = 0


@attrs.frozen
class StatusResult:
    """What a server answered to a question about itself, or to an order.

    Attributes:
      pool: The server's connections.
      status: What it said of itself; None if it did not say.
    """

    pool: ConnectionPool
    status: ServerStatus | None


class ControlCommands:
    """Asks the servers of one group, past the line of waiting statements.

    Attributes:
      group: The group.
    """

    def __init__(self, group: "GroupRelay") -> None:
        self.group = group
        self.loop = asyncio.get_running_loop()

    async def check_primary(self, pool: ConnectionPool) -> PrimaryCheck:
        """Ask whether a server leads.

        An empty transaction that may write begins on the leading server
        only and needs no slot, so that a full server answers at once. The
        answer of a leading server is a floor, too.

        Args:
          pool: The server's connections.
        """
        link = await pool.acquire_control_link(CONNECT_TIMEOUT_SECONDS)
        if isinstance(link, NotOpened):
            self.group.note_unreachable(pool, link.failure)
            return PrimaryCheck(pool, link.failure is OpenFailure.FULL)
        sent_at = boot_seconds()
        replies = await self.exchange(
            pool, link, [OpenTransaction(read_only=False), UndoTransaction()]
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
        self, pool: ConnectionPool, link: ServerLink, commands: list[Command]
    ) -> list[Reply] | None:
        """Send commands and give the link back; None without every reply."""
        start = self.loop.time()
        replies: list[Reply] = []
        for future in link.send(commands):
            reply = await await_reply(future, start + COMMAND_TIMEOUT_SECONDS)
            if reply is None:
                self.group.note_lost(pool, not link.closed, start)
                pool.discard(link)
                return None
            replies.append(reply)
        pool.release(link)
        return replies

    async def check_primaries(
        self, pools: list[ConnectionPool]
    ) -> list[PrimaryCheck]:
        """Ask several servers at once whether they lead.

        Args:
          pools: The servers' connections.
        """
        return await asyncio.gather(*(self.check_primary(one) for one in pools))

    async def send_command(
        self, pool: ConnectionPool, command: Command
    ) -> StatusResult:
        """Send a question or an order that is answered with a status.

        Args:
          pool: The server's connections.
          command: The command.
        """
        deadline = self.loop.time() + COMMAND_TIMEOUT_SECONDS
        while True:
            link = await pool.acquire_control_link(CONNECT_TIMEOUT_SECONDS)
            if isinstance(link, NotOpened):
                self.group.note_unreachable(pool, link.failure)
                return StatusResult(pool, None)
            replies = await self.exchange(pool, link, [command])
            if replies is None:
                return StatusResult(pool, None)
            [reply] = replies
            full = reply.problem is Problem.BUSY
            if not full or self.loop.time() >= deadline:
                return StatusResult(pool, self.status(link, reply))
            await asyncio.sleep(BUSY_RETRY_SECONDS)

    def status(self, link: ServerLink, reply: Reply) -> ServerStatus | None:
        """Return a status, logging an answer that holds none."""
        status = link.status_of(reply)
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
        """Send a question or an order to several servers at once.

        Args:
          pools: The servers' connections.
          command: The command.
        """
        return await asyncio.gather(
            *(self.send_command(one, command) for one in pools)
        )
