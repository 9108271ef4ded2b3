"""The connections of this proxy to one backend server."""

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
from jackdawcrank.seams.server_link import (
    LinkOpener,
    NotOpened,
    OpenFailure,
    ServerLink,
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

OpenResult = ServerLink | NotOpened


@attrs.frozen
class WaitLimitExceeded:
    """The statement's turn did not come in time, or cannot."""


@attrs.frozen
class IdleLink:
    """A connection that nobody uses.

    Attributes:
      link: The connection.
      since: Since when, in seconds on the loop's clock.
    """

    link: ServerLink
    since: float


class ConnectionPool:
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
        opener: LinkOpener,
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
        self.limiter = StatementLimiter(max(MIN_WINDOW, window), limit)
        self.executing: dict[ServerLink, float] = {}
        self.wait_estimator = WaitEstimator()
        self.overload_detector = OverloadDetector()
        self.in_use: dict[ServerLink, float] = {}
        self.queue: PriorityWaitQueue[asyncio.Future[OpenResult]] = (
            PriorityWaitQueue()
        )
        self.retired = False
        self.tasks: set[asyncio.Task[None]] = set()
        self.loop = asyncio.get_running_loop()

    async def acquire(
        self, context: SessionContext, limits: WaitLimits
    ) -> OpenResult | WaitLimitExceeded:
        """Return a connection, waiting for one if all are in use.

        Args:
          context: What the session has set up; a fitting connection is
            preferred.
          limits: How the statement may wait, by the loop's clock.
        """
        granted = await self.connect(context, limits)
        if isinstance(granted, (NotOpened, WaitLimitExceeded)):
            return granted
        # In this order, since whoever holds a place at the gate must be able
        # to go on: transactions need one while they keep their connections.
        if await self.limiter.enter(limits) is LimiterResult.GRANTED:
            self.executing[granted] = self.loop.time()
            return granted
        self.release(granted)
        return WaitLimitExceeded()

    async def connect(
        self, context: SessionContext, limits: WaitLimits
    ) -> OpenResult | WaitLimitExceeded:
        """Return a connection, opening one or waiting for one."""
        now = self.loop.time()
        deadline = self.overload_detector.wait_deadline(
            now, self.queue.length, limits
        )
        link = self.take_idle(context)
        if link is not None:
            return self.check_out(link)
        ahead = self.queue.ahead_of(limits.priority)
        wait = self.wait_estimator.wait_seconds(ahead, self.limit)
        if self.count >= self.limit and now + wait >= deadline:
            return WaitLimitExceeded()
        granted: asyncio.Future[OpenResult] = self.loop.create_future()
        waiter = self.queue.enqueue(limits.priority, deadline, granted)
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
        """Note that a connection is in use from now on."""
        if not isinstance(granted, NotOpened):
            self.in_use[granted] = self.loop.time()
            self.condition.running = len(self.in_use)
        return granted

    def check_in(self, link: ServerLink) -> None:
        """Note that a connection is no longer in use."""
        self.end_statement(link)
        used_since = self.in_use.pop(link, None)
        if used_since is not None:
            self.wait_estimator.record_hold(self.loop.time() - used_since)
            self.condition.running = len(self.in_use)

    def end_statement(self, link: ServerLink) -> None:
        """Note that nothing is under way on a connection in use."""
        sent_at = self.executing.pop(link, None)
        if sent_at is not None:
            self.limiter.leave(self.loop.time() - sent_at)
            self.open_more()

    async def begin_statement(self, link: ServerLink, deadline: float) -> bool:
        """Wait until a transaction's next statement may be sent.

        Args:
          link: The transaction's connection.
          deadline: When to give up, in seconds on the loop's clock.
        """
        limits = WaitLimits(TRANSACTION_PRIORITY, deadline, deadline)
        if await self.limiter.enter(limits) is not LimiterResult.GRANTED:
            return False
        if link not in self.in_use:
            self.limiter.leave(0.0)
            return False
        self.executing[link] = self.loop.time()
        return True

    def queue_nonempty_seconds(self) -> float:
        """Return for how long statements have waited here, in seconds."""
        now = self.loop.time()
        return max(
            self.overload_detector.nonempty_seconds(now),
            self.limiter.overload_detector.nonempty_seconds(now),
        )

    def has_spare_link(self) -> bool:
        """Return whether a connection is idle or may still be opened."""
        return bool(self.idle) or self.count < self.limit

    async def acquire_control_link(self, timeout_seconds: float) -> OpenResult:
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

    def take_idle(self, context: SessionContext) -> ServerLink | None:
        """Return the idle connection that fits a session best, or None."""
        while self.idle:
            best = min(
                range(len(self.idle)),
                key=lambda index: (
                    self.idle[index].link.memory.count_differences(context),
                    -index,
                ),
            )
            link = self.take(best)
            if not link.closed:
                return link
            self.count -= 1
        return None

    def take(self, index: int) -> ServerLink:
        """Take an idle connection into use."""
        link = self.idle.pop(index).link
        link.on_closed = None
        return link

    def idle_closed(self, link: ServerLink) -> None:
        """Take in that an idle connection ended from the other side."""
        kept = [one for one in self.idle if one.link is not link]
        self.count -= len(self.idle) - len(kept)
        self.idle = kept
        self.on_lost()

    def release(self, link: ServerLink) -> None:
        """Give a connection back that is in no transaction.

        Args:
          link: The connection.
        """
        self.check_in(link)
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
        while (waiter := self.queue.pop(now)) is not None:
            if not waiter.item.done():
                waiter.item.set_result(link)
                return
        self.idle.append(IdleLink(link, now))
        link.on_closed = functools.partial(self.idle_closed, link)

    def discard(self, link: ServerLink) -> None:
        """Close a connection that cannot be used again.

        Args:
          link: The connection.
        """
        self.check_in(link)
        link.close()
        self.count -= 1
        self.open_more()

    def open_more(self) -> None:
        """Open a connection if one is waited for and could be used."""
        if self.retired or self.loop.time() < self.full_until:
            return
        # Whoever got it would only wait at the gate.
        if not self.limiter.has_room():
            return
        wanted = min(self.queue.length, MAX_OPENING)
        while self.opening < wanted and self.count < self.limit:
            self.start_opening()

    def start_opening(self) -> None:
        """Open one connection."""
        self.count += 1
        self.opening += 1
        task = self.loop.create_task(self.open_one())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def open_one(self) -> None:
        """Open one connection and hand it to whoever waits."""
        outcome: OpenResult = NotOpened(OpenFailure.REFUSED, "closing")
        try:
            outcome = await self.opener.open(self.server, OPEN_TIMEOUT_SECONDS)
        finally:
            self.opening -= 1
            if isinstance(outcome, NotOpened):
                self.count -= 1
        if isinstance(outcome, NotOpened):
            self.open_failed(outcome)
        else:
            self.condition.position_seen(outcome.first_position)
            self.release(outcome)
        # Whoever got this one comes to the gate first.
        self.loop.call_soon(self.open_more)

    def open_failed(self, outcome: NotOpened) -> None:
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
        for waiting in self.queue.clear():
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

    def close_idle_links(self) -> None:
        """Close every connection that nobody uses."""
        while self.idle:
            self.take(-1).close()
            self.count -= 1

    def retire(self) -> None:
        """Take no new work; connections in use end with their work."""
        self.retired = True
        self.close_idle_links()
        gone = NotOpened(OpenFailure.WRONG_SERVER, "the server has left")
        for waiting in self.queue.clear():
            if not waiting.done():
                waiting.set_result(gone)
