"""Sending statements to a home, or running them here."""

import asyncio
from collections.abc import Callable, Mapping

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
from jackdawcrank.relay.table_follower import TableFollower
from jackdawcrank.relay.transaction_view import Transaction
from jackdawcrank.seams.replies import Problem, Reply
from jackdawcrank_policy.homes import Member

# A home that could not be reached is passed over for this long: the time in
# which a killed process starts again.
PASS_OVER_SECONDS = 1.0


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


@attrs.frozen
class Forwarded:
    """A request that a home has answered.

    Attributes:
      stream: The stream to the home.
      number: The request's number on it.
      answer: What the home answered.
    """

    stream: HomeStream
    number: int
    answer: HomeAnswer


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
        followers: Mapping[str, TableFollower],
        detect_dead_peer: Callable[[asyncio.BaseTransport], None],
    ) -> None:
        self.local = local
        self.homes = homes
        self.log = log
        self.followers = followers
        self.detect_dead_peer = detect_dead_peer
        self.routes: dict[str, Route] = {}
        self.loop = asyncio.get_running_loop()

    async def close(self) -> None:
        """End every stream."""
        for route in self.routes.values():
            if route.opening:
                route.opening.cancel()
            if route.stream:
                route.stream.abort()

    def stream_to(self, vm: str) -> HomeStream | None:
        """Return the open stream to a VM, or None.

        Args:
          vm: The VM's name.
        """
        route = self.routes.get(vm)
        if route is None or route.stream is None or route.stream.closed:
            return None
        return route.stream

    async def run_single(
        self, session: SessionView, execution: Execution
    ) -> Reply:
        """Run a statement outside a transaction.

        Args:
          session: Whose it is; its database is resolved.
          execution: The statement.
        """
        forwarded = await self.forward(Kind.RUN, session, execution)
        if forwarded is None:
            return await self.local.run_single(session, execution)
        if isinstance(forwarded, Reply):
            return forwarded
        session.saw(forwarded.answer.seen)
        return forwarded.answer.reply

    async def begin(
        self, session: SessionView, execution: Execution | None
    ) -> Transaction | Reply:
        """Open a transaction on the server that fits it.

        Args:
          session: Whose it is; its database is resolved.
          execution: Its first statement, if there is one.
        """
        forwarded = await self.forward(Kind.BEGIN, session, execution)
        if forwarded is None:
            return await self.local.begin(session, execution)
        if isinstance(forwarded, Reply):
            return forwarded
        if forwarded.answer.reply.problem is not None:
            return forwarded.answer.reply
        spec, _ = resolved(session)
        return RemoteTransaction(
            forwarded.stream, forwarded.number, spec, self.log
        )

    async def forward(
        self, kind: Kind, session: SessionView, execution: Execution | None
    ) -> Forwarded | Reply | None:
        """Have a home run a request.

        Args:
          kind: What is asked of it.
          session: Whose request it is.
          execution: The statement, if there is one.

        Returns:
          What a home answered, a problem of the proxy's own, or None if the
          request is to be run here.
        """
        spec, group = resolved(session)
        deadline = self.loop.time() + spec.statement_timeout_seconds
        while not self.homes.is_home(group.group):
            stream = await self.stream_for(session, deadline)
            if stream is None:
                return None
            number, answer = await self.ask(
                stream, kind, session, execution, deadline
            )
            if isinstance(answer, HomeAnswer):
                return Forwarded(stream, number, answer)
            writes = execution is not None and execution.writes
            if answer.sent and kind is Kind.RUN and writes:
                return self.in_doubt(session, execution)
            if self.loop.time() >= deadline:
                return self.too_late(session, execution)
        return None

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

    def in_doubt(
        self, session: SessionView, execution: Execution | None
    ) -> Reply:
        """Return that a home took a write with it."""
        self.log.event(
            "home_lost",
            request=execution.request_id if execution else "",
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
        stream = self.stream_to(member.vm)
        if stream is not None:
            return stream
        if self.loop.time() < route.not_before:
            return None
        if route.opening is None:
            route.opening = self.loop.create_task(self.open(member, route))
        return await asyncio.shield(route.opening)

    async def open(self, member: Member, route: Route) -> HomeStream | None:
        """Connect to a home."""
        try:
            route.stream = await open_stream(
                member, self.followers, self.detect_dead_peer
            )
        finally:
            route.opening = None
        if route.stream is None:
            route.not_before = self.loop.time() + PASS_OVER_SECONDS
            self.log.event("home_unreachable", home=member.vm)
        return route.stream
