"""Sending statements to a home, or running them here."""

import asyncio
from collections.abc import Callable

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.execution import Execution
from jackdawcrank.relay.home_messages import (
    Kind,
    encode_execution,
    encode_session,
    pack,
)
from jackdawcrank.relay.home_stream import (
    HOME_MARGIN_SECONDS,
    HomeAnswer,
    HomeLost,
    HomeStream,
    open_stream,
)
from jackdawcrank.relay.homes import Homes
from jackdawcrank.relay.remote_transaction import RemoteTransaction
from jackdawcrank.relay.session_view import SessionView
from jackdawcrank.relay.statement_runner import StatementRunner, resolved
from jackdawcrank.relay.transaction_view import Transaction
from jackdawcrank.seams.metadata_store import StoredRow
from jackdawcrank.seams.replies import Problem, Reply
from jackdawcrank_policy.homes import Member

# A home that could not be reached is passed over for this long: the time in
# which a killed process starts again.
PASS_OVER_SECONDS = 1.0
# Longer than twice the interval at which a home vouches for its declarations.
VOUCHED_SECONDS = 2.5


@attrs.define
class Route:
    """The way to one home.

    Attributes:
      stream: The stream, while there is one.
      opening: Connects, while that is under way.
      not_before: Until when the home is passed over.
    """

    stream: HomeStream | None = None
    opening: asyncio.Task[HomeStream | None] | None = None
    not_before: float = 0.0


class HomeRouter:
    """Runs statements where their group's connections are.

    Attributes:
      local: Runs them here.
      homes: Knows which proxies are homes.
      routes: The ways to other proxies, by VM.
    """

    def __init__(
        self,
        local: StatementRunner,
        homes: Homes,
        log: DecisionLog,
        on_declarations: Callable[[StoredRow], None],
        notice_dead_peer: Callable[[asyncio.BaseTransport], None],
    ) -> None:
        self.local = local
        self.homes = homes
        self.log = log
        self.on_declarations = on_declarations
        self.notice_dead_peer = notice_dead_peer
        self.routes: dict[str, Route] = {}
        self.loop = asyncio.get_running_loop()

    async def close(self) -> None:
        """End every stream."""
        for route in self.routes.values():
            if route.opening:
                route.opening.cancel()
            if route.stream:
                route.stream.abort()

    def vouched(self) -> bool:
        """Return whether a home keeps the declarations here up to date."""
        oldest = self.loop.time() - VOUCHED_SECONDS
        return any(
            route.stream is not None
            and not route.stream.closed
            and route.stream.heard_at is not None
            and route.stream.heard_at >= oldest
            for route in self.routes.values()
        )

    async def run_single(
        self, session: SessionView, execution: Execution
    ) -> Reply:
        """Run a statement outside a transaction.

        Args:
          session: Whose it is; its database is resolved.
          execution: The statement.
        """
        spec, group = resolved(session)
        deadline = self.loop.time() + spec.statement_timeout_seconds
        while not self.homes.is_home(group.group):
            stream = await self.stream_for(session, deadline)
            if stream is None:
                break
            _, answer = await self.ask(
                stream, Kind.RUN, session, execution, deadline
            )
            if isinstance(answer, HomeAnswer):
                session.saw(answer.seen)
                return answer.reply
            if answer.sent and execution.writes:
                return self.in_doubt(session, execution)
            if self.loop.time() >= deadline:
                return self.too_late(session, execution)
        return await self.local.run_single(session, execution)

    async def begin(
        self, session: SessionView, execution: Execution | None
    ) -> Transaction | Reply:
        """Open a transaction on the server that fits it.

        Args:
          session: Whose it is; its database is resolved.
          execution: Its first statement, if there is one.
        """
        spec, group = resolved(session)
        deadline = self.loop.time() + spec.statement_timeout_seconds
        while not self.homes.is_home(group.group):
            stream = await self.stream_for(session, deadline)
            if stream is None:
                break
            number, answer = await self.ask(
                stream, Kind.BEGIN, session, execution, deadline
            )
            if isinstance(answer, HomeLost):
                if self.loop.time() >= deadline:
                    return self.too_late(session, execution)
                continue
            if answer.reply.problem is not None:
                return answer.reply
            return RemoteTransaction(stream, number, spec, self.log)
        return await self.local.begin(session, execution)

    async def ask(
        self,
        stream: HomeStream,
        kind: Kind,
        session: SessionView,
        execution: Execution | None,
        deadline: float,
    ) -> tuple[int, HomeAnswer | HomeLost]:
        """Forward a statement; return the request's number and the answer."""
        spec, _ = resolved(session)
        number = stream.next_number()
        body = pack(
            number,
            kind,
            encode_session(session, spec),
            encode_execution(execution),
        )
        timeout = deadline + HOME_MARGIN_SECONDS - self.loop.time()
        return number, await stream.call(number, body, timeout)

    def in_doubt(self, session: SessionView, execution: Execution) -> Reply:
        """Return that a home took a write with it."""
        self.log.event(
            "home_lost",
            request=execution.request_id,
            database=session.database,
            outcome=Problem.IN_DOUBT.value,
        )
        return Reply(problem=Problem.IN_DOUBT, detail="the home did not answer")

    def too_late(
        self, session: SessionView, execution: Execution | None
    ) -> Reply:
        """Return that no home answered in time; nothing is kept."""
        self.log.event(
            "home_lost",
            request=execution.request_id if execution else "",
            database=session.database,
            outcome=Problem.BUSY.value,
        )
        return Reply(problem=Problem.BUSY, detail="no home answered in time")

    async def stream_for(
        self, session: SessionView, deadline: float
    ) -> HomeStream | None:
        """Return a stream to the best home that can be reached, or None."""
        _, group = resolved(session)
        for member in self.homes.choices(group.group):
            if member.vm == self.homes.rows.own.vm:
                return None
            stream = await self.reach(member)
            if stream is not None and not stream.leaving:
                return stream
            if self.loop.time() >= deadline:
                break
        return None

    async def reach(self, member: Member) -> HomeStream | None:
        """Return a stream to a home, connecting if there is none."""
        route = self.routes.setdefault(member.vm, Route())
        if route.stream is not None and not route.stream.closed:
            return route.stream
        if self.loop.time() < route.not_before:
            return None
        if route.opening is None:
            route.opening = self.loop.create_task(self.open(member, route))
        return await asyncio.shield(route.opening)

    async def open(self, member: Member, route: Route) -> HomeStream | None:
        """Connect to a home."""
        try:
            route.stream = await open_stream(
                member, self.on_declarations, self.notice_dead_peer
            )
        finally:
            route.opening = None
        if route.stream is None:
            route.not_before = self.loop.time() + PASS_OVER_SECONDS
            self.log.event("home_unreachable", home=member.vm)
        return route.stream
