"""The connections of this proxy to one backend server."""

import asyncio
import functools
from collections.abc import Callable

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.statement_gate import (
    TRANSACTION_PRIORITY,
    Entry,
    StatementGate,
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

# Above a round trip between regions (40 ms) twice, a handshake behind a full
# server (27 ms each) and a delayed packet.
OPEN_TIMEOUT_SECONDS = 1.0
# Fewer statements at once would let a round trip between regions idle a slot.
MIN_WINDOW = 2.0
# Connections unused for this long are given back to other proxies.
IDLE_SECONDS = 12.0
# After a server was full, wait for others to give connections back.
FULL_PAUSE_SECONDS = 0.25
# A new connection takes one of a server's slots (3 to 6) for 12 to 27 ms, and
# many proxies open theirs at once when all of them start.
MAX_OPENING = 1

Granted = ServerConnection | NotOpened


@attrs.frozen
class Hopeless:
    """The statement's turn did not come in time, or cannot."""


@attrs.frozen
class IdleLink:
    """A connection that nobody uses.

    Attributes:
      link: The connection.
      since: Since when, in seconds on the loop's clock.
    """

    link: ServerConnection
    since: float


class ServerLane:
    """Lends connections of one server to sessions, the most urgent first.

    Attributes:
      server: The server, as it last reported itself.
      limit: Connections that this proxy may hold.
      condition: What this proxy knows of the server.
      idle: Connections that nobody uses, the latest used last.
      count: Connections that are open or being opened.
      loans: The connections in use, and since when.
      line: Who waits for one.
      turn: How long connections are in use.
      patience: How long newcomers should wait for one.
      gate: Lets statements pass as the server can take them.
      sending: The connections with a statement under way, and since when.
      retired: Whether the server is gone.
      on_lost: Called when the server ends a connection that nobody uses.
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
        self.idle: list[IdleLink] = []
        self.count = 0
        self.opening = 0
        self.full_until = 0.0
        self.gate = StatementGate(max(MIN_WINDOW, window), limit)
        self.sending: dict[ServerConnection, float] = {}
        self.turn = WaitEstimator()
        self.patience = OverloadDetector()
        self.loans: dict[ServerConnection, float] = {}
        self.line: PriorityWaitQueue[asyncio.Future[Granted]] = (
            PriorityWaitQueue()
        )
        self.retired = False
        self.tasks: set[asyncio.Task[None]] = set()
        self.loop = asyncio.get_running_loop()

    async def acquire(
        self, memory: SessionContext, limits: WaitLimits
    ) -> Granted | Hopeless:
        """Return a connection, waiting for one if all are in use.

        Args:
          memory: What the session has set up; a fitting connection is
            preferred.
          limits: How the statement may wait, by the loop's clock.
        """
        granted = await self.connect(memory, limits)
        if isinstance(granted, (NotOpened, Hopeless)):
            return granted
        # In this order, since whoever holds a place at the gate must be able
        # to go on: transactions need one while they keep their connections.
        if await self.gate.enter(limits) is Entry.GRANTED:
            self.sending[granted] = self.loop.time()
            return granted
        self.release(granted)
        return Hopeless()

    async def connect(
        self, memory: SessionContext, limits: WaitLimits
    ) -> Granted | Hopeless:
        """Return a connection, opening one or waiting for one."""
        now = self.loop.time()
        deadline = self.patience.wait_deadline(now, self.line.length, limits)
        link = self.take_idle(memory)
        if link is not None:
            return self.lend(link)
        ahead = self.line.ahead_of(limits.priority)
        wait = self.turn.wait_seconds(ahead, self.limit)
        if self.count >= self.limit and now + wait >= deadline:
            return Hopeless()
        granted: asyncio.Future[Granted] = self.loop.create_future()
        place = self.line.enqueue(limits.priority, deadline, granted)
        self.open_more()
        try:
            async with asyncio.timeout_at(deadline):
                return self.lend(await granted)
        except TimeoutError:
            if granted.done() and not granted.cancelled():
                return self.lend(granted.result())
            return Hopeless()
        finally:
            self.line.cancel(place)

    def lend(self, granted: Granted) -> Granted:
        """Note that a connection is in use from now on."""
        if not isinstance(granted, NotOpened):
            self.loans[granted] = self.loop.time()
            self.condition.running = len(self.loans)
        return granted

    def returned(self, link: ServerConnection) -> None:
        """Note that a connection is no longer in use."""
        self.rest(link)
        lent_at = self.loans.pop(link, None)
        if lent_at is not None:
            self.turn.record_hold(self.loop.time() - lent_at)
            self.condition.running = len(self.loans)

    def rest(self, link: ServerConnection) -> None:
        """Note that nothing is under way on a connection in use."""
        sent_at = self.sending.pop(link, None)
        if sent_at is not None:
            self.gate.leave(self.loop.time() - sent_at)
            self.open_more()

    async def resume(self, link: ServerConnection, deadline: float) -> bool:
        """Wait until a transaction's next statement may be sent.

        Args:
          link: The transaction's connection.
          deadline: When to give up, in seconds on the loop's clock.
        """
        limits = WaitLimits(TRANSACTION_PRIORITY, deadline, deadline)
        if await self.gate.enter(limits) is not Entry.GRANTED:
            return False
        if link not in self.loans:
            self.gate.leave(0.0)
            return False
        self.sending[link] = self.loop.time()
        return True

    def full_for(self) -> float:
        """Return for how long statements have waited here, in seconds."""
        now = self.loop.time()
        return max(
            self.patience.nonempty_seconds(now),
            self.gate.patience.nonempty_seconds(now),
        )

    def has_spare_link(self) -> bool:
        """Return whether a connection is idle or may still be opened."""
        return bool(self.idle) or self.count < self.limit

    async def spare_link(self, timeout_seconds: float) -> Granted:
        """Return a connection for a control command, beyond the limit.

        Args:
          timeout_seconds: The longest time to open one.
        """
        while self.idle:
            link = self.take(-1)
            if not link.closed:
                return link
            self.count -= 1
        opened = await self.opener.open(self.server, timeout_seconds)
        if not isinstance(opened, NotOpened):
            self.count += 1
        return opened

    def take_idle(self, memory: SessionContext) -> ServerConnection | None:
        """Return the idle connection that fits a session best, or None."""
        while self.idle:
            best = min(
                range(len(self.idle)),
                key=lambda index: (
                    self.idle[index].link.memory.count_differences(memory),
                    -index,
                ),
            )
            link = self.take(best)
            if not link.closed:
                return link
            self.count -= 1
        return None

    def take(self, index: int) -> ServerConnection:
        """Take an idle connection into use."""
        link = self.idle.pop(index).link
        link.on_closed = None
        return link

    def idle_closed(self, link: ServerConnection) -> None:
        """Take in that an idle connection ended from the other side."""
        kept = [one for one in self.idle if one.link is not link]
        self.count -= len(self.idle) - len(kept)
        self.idle = kept
        self.on_lost()

    def release(self, link: ServerConnection) -> None:
        """Give a connection back that is in no transaction.

        Args:
          link: The connection.
        """
        self.returned(link)
        if link.state is not SessionState.IDLE:
            # Its next statement would run inside this transaction.
            self.log.event(
                "connection_not_idle",
                server=self.server.server_id,
                state=link.state.value,
            )
            self.discard(link)
            return
        if link.closed or self.retired or self.count > self.limit:
            self.discard(link)
            return
        now = self.loop.time()
        while (place := self.line.pop(now)) is not None:
            if not place.item.done():
                place.item.set_result(link)
                return
        self.idle.append(IdleLink(link, now))
        link.on_closed = functools.partial(self.idle_closed, link)

    def discard(self, link: ServerConnection) -> None:
        """Close a connection that cannot be used again.

        Args:
          link: The connection.
        """
        self.returned(link)
        link.close()
        self.count -= 1
        self.open_more()

    def open_more(self) -> None:
        """Open a connection if one is waited for and could be used."""
        if self.retired or self.loop.time() < self.full_until:
            return
        # Whoever got it would only wait at the gate.
        if not self.gate.has_room():
            return
        wanted = min(self.line.length, MAX_OPENING)
        while self.opening < wanted and self.count < self.limit:
            self.begin_open()

    def begin_open(self) -> None:
        """Open one connection."""
        self.count += 1
        self.opening += 1
        task = self.loop.create_task(self.open_one())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def open_one(self) -> None:
        """Open one connection and hand it to whoever waits."""
        outcome: Granted = NotOpened(OpenFailure.REFUSED, "closing")
        try:
            outcome = await self.opener.open(self.server, OPEN_TIMEOUT_SECONDS)
        finally:
            self.opening -= 1
            if isinstance(outcome, NotOpened):
                self.count -= 1
        if isinstance(outcome, NotOpened):
            self.not_opened(outcome)
        else:
            self.condition.position_seen(outcome.first_position)
            self.release(outcome)
        # Whoever got this one comes to the gate first.
        self.loop.call_soon(self.open_more)

    def not_opened(self, outcome: NotOpened) -> None:
        """Tell whoever waits that there is no connection.

        Args:
          outcome: Why.
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
        for waiting in self.line.clear():
            if not waiting.done():
                waiting.set_result(outcome)

    def trim(self, keep: int) -> None:
        """Close connections beyond the limit or unused for a while.

        Args:
          keep: How many to keep all the same.
        """
        while self.idle and self.count > self.limit:
            self.discard(self.take(0))
        oldest = self.loop.time() - IDLE_SECONDS
        while len(self.idle) > keep and self.idle[0].since < oldest:
            self.discard(self.take(0))

    def drop_idle(self) -> None:
        """Close every connection that nobody uses."""
        while self.idle:
            self.take(-1).close()
            self.count -= 1

    def retire(self) -> None:
        """Take no new work; connections in use end with their work."""
        self.retired = True
        self.drop_idle()
        gone = NotOpened(OpenFailure.WRONG_SERVER, "the server has left")
        for waiting in self.line.clear():
            if not waiting.done():
                waiting.set_result(gone)
