"""Routing of statements to a home proxy or to the local servers."""

import asyncio
from collections.abc import Callable, Mapping

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.execution import Execution
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.relay.home_messages import (
    Kind,
    encode_execution,
    encode_session,
    pack,
)
from jackdawcrank.relay.home_stream import (
    HOME_CONNECT_TIMEOUT_SECONDS,
    HOME_MARGIN_SECONDS,
    GrantHandler,
    HomeAnswer,
    HomeLost,
    HomeStream,
    ignore_grant,
    open_stream,
)
from jackdawcrank.relay.homes import Homes
from jackdawcrank.relay.remote_transaction import RemoteTransaction
from jackdawcrank.relay.session_view import SessionView
from jackdawcrank.relay.statement_runner import (
    MIN_ATTEMPT_SECONDS,
    StatementRunner,
    resolved,
)
from jackdawcrank.relay.table_follower import TableFollower
from jackdawcrank.relay.transaction_view import Transaction
from jackdawcrank.seams.replies import Problem, Reply
from jackdawcrank_policy.homes import Member

# How long an unreachable home is skipped: the time in which a killed process
# restarts.
UNREACHABLE_BACKOFF_SECONDS = 1.0
# How long a home is skipped whose VM refused the connection, so that it is up
# and its process may be starting. A small part of a statement's time (0.8 s or
# more).
REFUSED_BACKOFF_SECONDS = 0.1


@attrs.define
class Route:
    """Connection state of one home.

    Attributes:
      stream: The last stream opened to the home, or None.
      opening: The connection attempt in progress, or None.
      retry_at: When the home may be tried again, in seconds on the event
        loop's clock.
      refused: Whether the home's VM refused the last connection.
    """

    stream: HomeStream | None = None
    opening: asyncio.Task[HomeStream | None] | None = None
    retry_at: float = 0.0
    refused: bool = False


@attrs.frozen
class ForwardedRequest:
    """A request that a home answered.

    Attributes:
      stream: The stream to the home.
      number: The request number on the stream.
      answer: The home's answer.
    """

    stream: HomeStream
    number: int
    answer: HomeAnswer


class HomeRouter:
    """Runs statements on a home of their database group.

    A home pools the backend connections of the group. If this proxy is a home
    of the group, or no other home can be reached, statements run locally.

    Attributes:
      local: Runs statements on this proxy.
      homes: Selects the homes of a group.
      log: Records routing events.
      followers: The followers of the store's tables, by table.
      detect_dead_peer: Sets the socket options that detect a dead peer.
      on_grant: Receives the fields of granted tokens of client accounts.
      on_capacity: Receives the fields of granted shares of servers.
      routes: Connection state of the other proxies, by VM.
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
        self.on_grant: GrantHandler = ignore_grant
        self.on_capacity: GrantHandler = ignore_grant
        self.routes: dict[str, Route] = {}
        self.loop = asyncio.get_running_loop()

    async def close(self) -> None:
        """Close every stream and cancel connection attempts."""
        for route in self.routes.values():
            if route.opening:
                route.opening.cancel()
            if route.stream:
                route.stream.abort()

    def stream_to(self, vm: str) -> HomeStream | None:
        """Return the open stream to a VM, or None.

        Args:
          vm: The name of the VM.
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
          session: The caller's session; its database must be resolved.
          execution: The statement.
        """
        forwarded = await self.forward(Kind.RUN, session, execution)
        if forwarded is None:
            return await self.local.run_single(session, execution)
        if isinstance(forwarded, Reply):
            return forwarded
        session.record_position(forwarded.answer.last_position)
        return forwarded.answer.reply

    async def begin(
        self, session: SessionView, execution: Execution | None
    ) -> Transaction | Reply:
        """Open a transaction on a suitable server.

        Args:
          session: The caller's session; its database must be resolved.
          execution: The first statement, or None.

        Returns:
          The open transaction, or the error reply.
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
    ) -> ForwardedRequest | Reply | None:
        """Forward a request to a home.

        Args:
          kind: The kind of the request.
          session: The caller's session.
          execution: The statement, or None.

        Returns:
          The answered request, an error reply of this proxy, or None if the
          request must run locally.
        """
        spec, group = resolved(session)
        deadline = self.loop.time() + spec.statement_timeout_seconds
        while not self.homes.is_home(group.group):
            stream = await self.stream_for(session, deadline)
            if stream is None:
                if group.pools or not self.home_may_be_starting(group):
                    return None
                await asyncio.sleep(REFUSED_BACKOFF_SECONDS)
                # A write that is sent too late would be in doubt.
                if self.loop.time() + MIN_ATTEMPT_SECONDS >= deadline:
                    return self.timeout_reply(session, execution)
                continue
            number, answer = await self.call_home(
                stream, kind, session, execution, deadline
            )
            if isinstance(answer, HomeAnswer):
                return ForwardedRequest(stream, number, answer)
            writes = execution is not None and execution.writes
            if answer.sent and kind is Kind.RUN and writes:
                return self.in_doubt_reply(session, execution)
            if self.loop.time() >= deadline:
                return self.timeout_reply(session, execution)
        return None

    def home_may_be_starting(self, group: GroupRelay) -> bool:
        """Return whether a home's VM is up and refused the last connection.

        A VM that was never a home knows no servers and cannot run statements
        itself. After the loss of all VMs, it may be ready before the homes.

        Args:
          group: The group.
        """
        return any(
            self.routes[member.vm].refused
            for member in self.homes.forwarding_targets(group.group)
            if member.vm in self.routes
        )

    async def call_home(
        self,
        stream: HomeStream,
        kind: Kind,
        session: SessionView,
        execution: Execution | None,
        deadline: float,
    ) -> tuple[int, HomeAnswer | HomeLost]:
        """Send a request to a home; return its number and the answer."""
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

    def in_doubt_reply(
        self, session: SessionView, execution: Execution | None
    ) -> Reply:
        """Return the reply to a write whose home did not answer."""
        self.log.event(
            "home_lost",
            request=execution.request_id if execution else "",
            database=session.database,
            outcome=Problem.IN_DOUBT.value,
        )
        return Reply(problem=Problem.IN_DOUBT, detail="the home did not answer")

    def timeout_reply(
        self, session: SessionView, execution: Execution | None
    ) -> Reply:
        """Return the reply to a request that no home answered in time.

        Such a request leaves no committed change.
        """
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
        """Return a stream to the best usable home, or None to run locally."""
        _, group = resolved(session)
        targets = self.homes.forwarding_targets(group.group, session.account)
        for member in targets:
            if member.vm == self.homes.rows.own.vm:
                return None
            stream = await self.connected_stream(member)
            if stream is not None and not stream.leaving:
                return stream
            if self.loop.time() >= deadline:
                break
        return None

    async def connected_stream(self, member: Member) -> HomeStream | None:
        """Return an open stream to a home, connecting if necessary."""
        route = self.routes.setdefault(member.vm, Route())
        stream = self.stream_to(member.vm)
        if stream is not None:
            return stream
        if self.loop.time() < route.retry_at:
            return None
        if route.opening is None:
            route.opening = self.loop.create_task(self.open(member, route))
        return await asyncio.shield(route.opening)

    async def open(self, member: Member, route: Route) -> HomeStream | None:
        """Connect to a home and update its route."""
        started_at = self.loop.time()
        try:
            route.stream = await open_stream(
                member,
                self.followers,
                self.detect_dead_peer,
                self.log,
                self.on_grant,
                self.on_capacity,
            )
        finally:
            route.opening = None
        now = self.loop.time()
        # A VM that is cut off or has no power does not answer at all.
        answered = now - started_at < HOME_CONNECT_TIMEOUT_SECONDS
        refused_before = route.refused
        route.refused = route.stream is None and answered
        if route.stream is None:
            route.retry_at = now + (
                REFUSED_BACKOFF_SECONDS
                if route.refused
                else UNREACHABLE_BACKOFF_SECONDS
            )
            if not (refused_before and route.refused):
                self.log.event("home_unreachable", home=member.vm)
        return route.stream
