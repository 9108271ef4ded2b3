"""A transaction on its own server connection."""

import asyncio
import typing

import attrs

from jackdawcrank.relay.await_reply import await_result
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.execution import (
    Execution,
    forward_command,
    setup_commands,
)
from jackdawcrank.relay.full_server import pause_seconds
from jackdawcrank.relay.server_lane import ServerLane
from jackdawcrank.relay.session_view import SessionView
from jackdawcrank.seams.commands import (
    Command,
    ForwardCommit,
    RollbackTransaction,
)
from jackdawcrank.seams.replies import Problem, Reply, SessionState
from jackdawcrank.seams.server_connection import ServerConnection

if typing.TYPE_CHECKING:
    from jackdawcrank.relay.group_relay import GroupRelay

# A rollback needs no slot; a server that does not answer it is silent.
UNDO_SECONDS = 1.0


@attrs.frozen
class NotSent:
    """No server has seen the statement."""


class OpenTransaction:
    """Keeps a connection for a transaction until it ends.

    Attributes:
      group: The group that it runs on.
      lane: The connections that the link belongs to.
      link: The connection.
      on_primary: Whether the server must lead for a statement to succeed.
      wrote: Whether a write was sent.
      running: Whether a statement was sent and not answered yet.
      ended: Whether the link was given back.
    """

    def __init__(
        self,
        group: "GroupRelay",
        lane: ServerLane,
        link: ServerConnection,
        on_primary: bool,
        timeout_seconds: float,
    ) -> None:
        self.group = group
        self.lane = lane
        self.link = link
        self.on_primary = on_primary
        self.timeout_seconds = timeout_seconds
        self.wrote = False
        self.running = False
        self.ended = False
        self.loop = asyncio.get_running_loop()

    async def run(self, session: SessionView, execution: Execution) -> Reply:
        """Run a statement of the transaction.

        Args:
          session: Whose transaction it is.
          execution: The statement.
        """
        if self.ended:
            return self.not_sent(execution.request_id, self.loop.time())
        self.wrote = self.wrote or execution.writes
        sent_at = boot_seconds()
        start = self.loop.time()
        commands = setup_commands(self.link, session.memory, execution)
        commands.append(forward_command(self.link, execution))
        reply = await self.send(commands, start + self.timeout_seconds)
        if isinstance(reply, NotSent):
            return self.not_sent(execution.request_id, start)
        if reply is None:
            return self.lost(execution.request_id, start)
        self.answered(sent_at, start, reply)
        if reply.problem is not None:
            self.group.log.event(
                "transaction_statement",
                request=execution.request_id,
                group=self.group.name,
                server=self.lane.server.server_id,
                outcome=reply.problem.value,
                ms=round((self.loop.time() - start) * 1000),
            )
        return reply

    async def send(
        self, commands: list[Command], deadline: float
    ) -> Reply | NotSent | None:
        """Send commands; repeat the last while the server is full.

        A full server did not run it and keeps the transaction open.

        Args:
          commands: The commands.
          deadline: When to give up, in seconds on the loop's clock.
        """
        refusals = 0
        while True:
            pause = pause_seconds(refusals)
            reply = await self.send_once(commands, deadline)
            if (
                not isinstance(reply, Reply)
                or reply.problem is not Problem.BUSY
                or reply.state is not SessionState.IN_TRANSACTION
                or self.loop.time() + pause >= deadline
            ):
                return reply
            self.lane.gate.refused()
            await asyncio.sleep(pause)
            refusals += 1
            commands = commands[-1:]

    async def send_once(
        self, commands: list[Command], deadline: float
    ) -> Reply | NotSent | None:
        """Send commands when it is their turn; return the last reply."""
        if not await self.lane.resume(self.link, deadline):
            return NotSent()
        if self.ended:
            # Rolled back meanwhile; it must not run by itself.
            return NotSent()
        self.running = True
        try:
            future = self.link.send(commands)[-1]
            return await await_result(future, deadline)
        finally:
            self.running = False
            self.lane.rest(self.link)

    def answered(self, sent_at: float, start: float, reply: Reply) -> None:
        """Take in a server's answer."""
        condition = self.lane.condition
        condition.position_seen(reply.position)
        if reply.problem is Problem.NOT_PRIMARY:
            self.group.disown(self.lane)
        elif reply.problem is None:
            condition.answered(self.loop.time() - start, self.loop.time())
            if self.on_primary:
                # The server refuses every statement of such a transaction
                # once it has lost the lead.
                if reply.position:
                    self.group.watermarks.add(sent_at, reply.position)
                self.group.doubt.answered()

    def not_sent(self, request_id: str, start: float) -> Reply:
        """Roll back, since a statement's turn did not come."""
        self.undo()
        self.group.log.event(
            "transaction_statement",
            request=request_id,
            group=self.group.name,
            server=self.lane.server.server_id,
            outcome=Problem.ROLLED_BACK.value,
            ms=round((self.loop.time() - start) * 1000),
        )
        return Reply(
            problem=Problem.ROLLED_BACK,
            detail="the server is full; the transaction is rolled back",
        )

    def lost(self, request_id: str, start: float) -> Reply:
        """Give up a statement without an answer; nothing was committed."""
        self.note_lost("transaction_lost", request_id, start)
        self.drop()
        return Reply(
            problem=Problem.ROLLED_BACK,
            detail="the server did not answer; the transaction is rolled back",
        )

    async def commit(self, session: SessionView, request_id: str) -> Reply:
        """Commit, and give the connection back.

        Args:
          session: Whose transaction it is.
          request_id: The caller's id of the commit.
        """
        start = self.loop.time()
        sent_at = boot_seconds()
        reply = await self.send(
            [ForwardCommit(request_id)], start + self.timeout_seconds
        )
        if isinstance(reply, NotSent):
            return self.not_sent(request_id, start)
        if reply is None:
            return self.commit_lost(request_id, start)
        if self.link.state is SessionState.IDLE:
            self.release()
        else:
            self.undo()
        self.lane.condition.position_seen(reply.position)
        self.note_commit(session.database, request_id, start, reply)
        if reply.problem is None and self.wrote:
            session.saw(reply.position)
            self.group.doubt.commit_acknowledged()
            if reply.position:
                self.group.watermarks.add(sent_at, reply.position)
        elif reply.problem is Problem.NOT_PRIMARY:
            self.group.disown(self.lane)
        return reply

    def note_commit(
        self, database: str, request_id: str, start: float, reply: Reply
    ) -> None:
        """Log the answer to a commit."""
        log = self.group.log
        seconds = self.loop.time() - start
        outcome = reply.problem.value if reply.problem else "done"
        log.measurements.answered(database, outcome, seconds)
        write = log.event if reply.problem else log.routine
        write(
            "transaction_ended",
            request=request_id,
            group=self.group.name,
            server=self.lane.server.server_id,
            outcome=outcome,
            position=str(reply.position),
            ms=round(seconds * 1000),
        )

    def commit_lost(self, request_id: str, start: float) -> Reply:
        """Give up a commit without an answer."""
        if not self.wrote:
            return self.lost(request_id, start)
        self.note_lost("commit_in_doubt", request_id, start, wrote=True)
        self.drop()
        return Reply(
            problem=Problem.IN_DOUBT,
            detail="the server did not answer the commit",
        )

    def note_lost(
        self,
        event: str,
        request_id: str,
        start: float,
        wrote: bool = False,
    ) -> None:
        """Take in and log that an answer did not come."""
        silent = not self.link.closed
        self.group.note_lost(self.lane, silent, start, wrote)
        self.group.log.event(
            event,
            request=request_id,
            group=self.group.name,
            server=self.lane.server.server_id,
            silent=silent,
            waited=round(self.loop.time() - start, 3),
        )

    def undo(self) -> None:
        """Roll back, and give the connection back once that is done."""
        if self.ended:
            return
        if self.link.closed or self.running:
            self.drop()
            return
        self.ended = True
        give_back_after(
            self.lane, self.link, self.link.send([RollbackTransaction()])[0]
        )

    def release(self) -> None:
        """Give the connection back."""
        if not self.ended:
            self.ended = True
            self.lane.release(self.link)

    def drop(self) -> None:
        """Close the connection; the server rolls back what is open."""
        if not self.ended:
            self.ended = True
            self.lane.discard(self.link)


def give_back_after(
    lane: ServerLane, link: ServerConnection, future: asyncio.Future[Reply]
) -> None:
    """Give a connection back when its last command is answered.

    Args:
      lane: The connections that it belongs to.
      link: The connection.
      future: The reply to the last command.
    """
    loop = asyncio.get_running_loop()
    timeout = loop.call_later(UNDO_SECONDS, link.close)

    def finish(done: asyncio.Future[Reply]) -> None:
        timeout.cancel()
        lost = done.cancelled() or done.exception() is not None
        if lost:
            lane.discard(link)
        else:
            lane.release(link)

    future.add_done_callback(finish)
