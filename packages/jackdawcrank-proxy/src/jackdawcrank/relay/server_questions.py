"""Questions and orders of the proxy itself to backend servers."""

import asyncio
import typing

import attrs

from jackdawcrank.relay.await_reply import await_reply
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.server_lane import ServerLane
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

# Four times the farthest round trip (80 ms) and a delayed packet.
QUESTION_SECONDS = 0.4
# A handshake needs a slot, which a full server has after some hundred ms.
CONNECT_SECONDS = 0.6
# A full server refuses orders; it is asked again until the time is up.
BUSY_PAUSE_SECONDS = 0.03


@attrs.frozen
class LeadReply:
    """What a server answered to the question whether it leads.

    Attributes:
      lane: The server's connections.
      alive: Whether it answered at all.
      leads: Whether it leads.
      term: The term of its last log entry; 0 if it did not say.
    """

    lane: ServerLane
    alive: bool
    leads: bool = False
    term: int = 0


@attrs.frozen
class Questioned:
    """What a server answered to a question about itself, or to an order.

    Attributes:
      lane: The server's connections.
      status: What it said of itself; None if it did not say.
    """

    lane: ServerLane
    status: ServerStatus | None


class ServerQuestions:
    """Asks the servers of one group, past the line of waiting statements.

    Attributes:
      group: The group.
    """

    def __init__(self, group: "GroupRelay") -> None:
        self.group = group
        self.loop = asyncio.get_running_loop()

    async def leads(self, lane: ServerLane) -> LeadReply:
        """Ask whether a server leads.

        An empty transaction that may write begins on the leading server
        only and needs no slot, so that a full server answers at once. The
        answer of a leading server is a floor, too.

        Args:
          lane: The server's connections.
        """
        link = await lane.spare_link(CONNECT_SECONDS)
        if isinstance(link, NotOpened):
            self.group.note_unreachable(lane, link.failure)
            return LeadReply(lane, link.failure is OpenFailure.FULL)
        sent_at = boot_seconds()
        replies = await self.exchange(
            lane,
            link,
            [BeginTransaction(read_only=False), RollbackTransaction()],
        )
        if replies is None:
            return LeadReply(lane, alive=False)
        opened = replies[0]
        lane.condition.position_seen(opened.position)
        term = opened.position.term if opened.position else 0
        leads = opened.problem is None
        if lane is self.group.primary_lane():
            self.group.doubt.answered()
            if leads and opened.position:
                self.group.watermarks.add(sent_at, opened.position)
            elif opened.problem is Problem.NOT_PRIMARY:
                self.group.disown(lane)
        return LeadReply(lane, True, leads, term)

    async def exchange(
        self, lane: ServerLane, link: ServerConnection, commands: list[Command]
    ) -> list[Reply] | None:
        """Send commands and give the link back; None without every reply."""
        start = self.loop.time()
        replies: list[Reply] = []
        for future in link.send(commands):
            reply = await await_reply(future, start + QUESTION_SECONDS)
            if reply is None:
                self.group.note_lost(lane, not link.closed, start)
                lane.discard(link)
                return None
            replies.append(reply)
        lane.release(link)
        return replies

    async def leads_all(self, lanes: list[ServerLane]) -> list[LeadReply]:
        """Ask several servers at once whether they lead.

        Args:
          lanes: The servers' connections.
        """
        return await asyncio.gather(*(self.leads(one) for one in lanes))

    async def ask(self, lane: ServerLane, command: Command) -> Questioned:
        """Send a question or an order that is answered with a status.

        Args:
          lane: The server's connections.
          command: The command.
        """
        give_up_at = self.loop.time() + QUESTION_SECONDS
        while True:
            link = await lane.spare_link(CONNECT_SECONDS)
            if isinstance(link, NotOpened):
                self.group.note_unreachable(lane, link.failure)
                return Questioned(lane, None)
            replies = await self.exchange(lane, link, [command])
            if replies is None:
                return Questioned(lane, None)
            [reply] = replies
            full = reply.problem is Problem.BUSY
            if not full or self.loop.time() >= give_up_at:
                return Questioned(lane, self.status(link, reply))
            await asyncio.sleep(BUSY_PAUSE_SECONDS)

    def status(
        self, link: ServerConnection, reply: Reply
    ) -> ServerStatus | None:
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

    async def ask_all(
        self, lanes: list[ServerLane], command: Command
    ) -> list[Questioned]:
        """Send a question or an order to several servers at once.

        Args:
          lanes: The servers' connections.
          command: The command.
        """
        return await asyncio.gather(*(self.ask(one, command) for one in lanes))
