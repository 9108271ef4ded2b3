"""Home server that runs the requests forwarded by other proxies."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay import primary_requests
from jackdawcrank.relay.account_limits import AccountLimits
from jackdawcrank.relay.caller_session import INTERNAL_ERROR
from jackdawcrank.relay.directory import Directory
from jackdawcrank.relay.frame_protocol import FrameProtocol
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.relay.home_messages import (
    Fields,
    Kind,
    decode_execution,
    decode_position,
    decode_spec,
    encode_position,
    encode_reply,
    pack,
    unpack,
)
from jackdawcrank.relay.statement_runner import StatementRunner
from jackdawcrank.relay.table_publisher import (
    TablePublisher,
    decode_known_table,
)
from jackdawcrank.relay.transaction_view import Transaction
from jackdawcrank.seams.replies import Problem, Reply
from jackdawcrank_policy.catalog import DatabaseSpec
from jackdawcrank_policy.sessions import SessionContext
from jackdawcrank_policy.values.position import Position

# A newly selected home must first read the servers, which takes one call.
SERVERS_TIMEOUT_SECONDS = 1.0


@attrs.define(eq=False)
class ForwardedSession:
    """A session of another proxy, as described by one message.

    Attributes:
      database: The database that the caller named.
      spec: The database declaration in force on the other proxy.
      context: The session values.
      last_position: The newest commit position returned to the caller.
      read_only: Whether the transaction is read-only.
      account: The client account of the caller; empty if it has none.
      group: The database group, or None before the session is resolved.
    """

    database: str
    spec: DatabaseSpec | None
    context: SessionContext
    last_position: Position | None
    read_only: bool
    account: str = ""
    group: GroupRelay | None = None

    def record_position(self, position: Position | None) -> None:
        """Advance the last position of this session.

        Args:
          position: The commit position, or None if the server sent none.
        """
        if position and (
            self.last_position is None or position > self.last_position
        ):
            self.last_position = position


def decode_session(fields: Fields) -> ForwardedSession:
    """Return a session decoded from message fields.

    Args:
      fields: The fields of the session.
    """
    database, spec, values, position, read_only, *account = fields
    return ForwardedSession(
        database,
        decode_spec(database, spec),
        SessionContext(values),
        decode_position(position),
        read_only,
        # A proxy of an earlier release knows no accounts.
        *account,
    )


class HomeConnection(FrameProtocol):
    """A connection from a proxy that forwards requests to this home.

    Attributes:
      home: The server that accepted the connection.
      transactions: The open transactions of the proxy with their sessions, by
        transaction number.
      tasks: The requests in progress.
    """

    def __init__(self, home: "HomeServer") -> None:
        super().__init__()
        self.home = home
        self.transactions: dict[int, tuple[ForwardedSession, Transaction]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        super().connection_made(transport)
        self.home.detect_dead_peer(transport)
        self.home.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Roll back the open transactions of the proxy."""
        self.closed = True
        self.home.connections.discard(self)
        self.home.table_publisher.unsubscribe(self)
        for _, transaction in self.transactions.values():
            transaction.roll_back()
        self.transactions.clear()

    def frame_received(self, body: bytes) -> None:
        """Handle a message; abort the connection if it is malformed."""
        try:
            number, kind, fields = unpack(body)
            if kind is Kind.FOLLOW:
                # A proxy of an earlier release names tables only. It does not
                # read compressed images, and follows the store by itself.
                self.home.table_publisher.subscribe(
                    self,
                    [
                        decode_known_table(table)
                        for table in fields
                        if not isinstance(table, str)
                    ],
                )
            elif kind is Kind.RESEND:
                self.home.table_publisher.resend(self, str(fields[0]))
            elif kind is Kind.STORE_ANSWERS:
                self.home.directory.store_health.record_hint()
            elif kind is Kind.ALLOWANCE_REQUEST:
                if self.home.account_limits is not None:
                    self.send(self.home.account_limits.request_received(fields))
            elif kind is Kind.UNDO:
                _, transaction = self.transactions.pop(fields[0], (None, None))
                if transaction is not None:
                    transaction.roll_back()
            else:
                self.start_task(self.serve(number, kind, fields))
        except (ValueError, TypeError, IndexError) as error:
            self.home.log.event("peer_message_unreadable", detail=repr(error))
            self.abort()

    def start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in a task of its own."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, number: int, kind: Kind, fields: Fields) -> None:
        """Run a request and send the answer."""
        handlers = {
            Kind.RUN: self.run,
            Kind.BEGIN: self.open,
            Kind.RUN_IN_TRANSACTION: self.run_in_transaction,
            Kind.COMMIT: self.commit,
            Kind.CHECK_PRIMARY: self.check_primary,
            Kind.STEP_DOWN: self.step_down,
        }
        try:
            await handlers[kind](number, fields)
        except (
            KeyError,
            IndexError,
            TypeError,
            ValueError,
            AttributeError,
        ) as error:
            # The peer runs another version. Closing the connection rolls back
            # its open transactions.
            self.home.log.event("peer_message_unreadable", detail=repr(error))
            self.abort()
        except Exception as error:
            # The statement may have run. Other requests on this connection go
            # on.
            self.home.log.event(
                "statement_error", request="", database="", detail=repr(error)
            )
            reply = Reply(problem=Problem.IN_DOUBT, detail=INTERNAL_ERROR)
            self.answer(number, None, reply)

    def answer(
        self, number: int, session: ForwardedSession | None, reply: Reply
    ) -> None:
        """Send the answer to a request."""
        last_position = session.last_position if session else None
        self.send(
            pack(
                number,
                Kind.ANSWER,
                encode_reply(reply),
                encode_position(last_position),
            )
        )

    async def run(self, number: int, fields: Fields) -> None:
        """Run a statement outside a transaction."""
        session = decode_session(fields[0])
        execution = decode_execution(fields[1])
        if execution is None or not await self.home.resolve(session):
            self.answer(number, session, unknown_group_reply())
            return
        reply = await self.home.runner.run_single(session, execution)
        self.answer(number, session, reply)

    async def open(self, number: int, fields: Fields) -> None:
        """Open a transaction under the number of its request."""
        session = decode_session(fields[0])
        if not await self.home.resolve(session):
            self.answer(number, session, unknown_group_reply())
            return
        opened = await self.home.runner.begin(
            session, decode_execution(fields[1])
        )
        if isinstance(opened, Reply):
            self.answer(number, session, opened)
        elif self.closed:
            opened.roll_back()
        else:
            self.transactions[number] = (session, opened)
            self.answer(number, session, Reply())

    async def run_in_transaction(self, number: int, fields: Fields) -> None:
        """Run a statement in an open transaction."""
        found = self.transactions.get(fields[0])
        execution = decode_execution(fields[1])
        if found is None or execution is None:
            self.answer(number, None, transaction_ended_reply())
            return
        session, transaction = found
        session.context.values = fields[2]
        reply = await transaction.run(session, execution)
        self.answer(number, session, reply)

    async def commit(self, number: int, fields: Fields) -> None:
        """Commit an open transaction."""
        found = self.transactions.pop(fields[0], None)
        if found is None:
            self.answer(number, None, transaction_ended_reply())
            return
        session, transaction = found
        reply = await transaction.commit(session, fields[1])
        self.answer(number, session, reply)

    async def check_primary(self, number: int, fields: Fields) -> None:
        """Answer whether a group's primary answers this proxy."""
        group, server_id = fields
        directory = self.home.directory
        reply = await primary_requests.check_primary(
            directory, group, server_id
        )
        self.answer(number, None, reply)

    async def step_down(self, number: int, fields: Fields) -> None:
        """Let a primary step down for a proxy that cannot reach it."""
        group, server_id, term = fields
        directory = self.home.directory
        reply = await primary_requests.step_down(
            directory, group, server_id, term
        )
        self.answer(number, None, reply)


def unknown_group_reply() -> Reply:
    """Return the reply for a group whose servers this home does not know."""
    return Reply(
        problem=Problem.BUSY, detail="the home does not know the group"
    )


def transaction_ended_reply() -> Reply:
    """Return the reply for a transaction that is not open on this home."""
    detail = "the transaction is no longer open"
    return Reply(problem=Problem.ROLLED_BACK, detail=detail)


class HomeServer:
    """Accepts connections from other proxies.

    Attributes:
      host: The address to listen on.
      port: The port to listen on.
      runner: Runs the forwarded statements.
      directory: Looks up database groups.
      log: Records malformed messages.
      detect_dead_peer: Sets the socket options that detect a dead peer.
      table_publisher: Sends changes of the store's tables to subscribed
        proxies.
      account_limits: Answers requests for tokens of client accounts; None if
        accounts are not limited.
      connections: The open connections.
      forwarding_seen: Set when a proxy has forwarded a request to this home.
      server: The listening server, or None before the start.
    """

    def __init__(
        self,
        host: str,
        port: int,
        runner: StatementRunner,
        directory: Directory,
        log: DecisionLog,
        detect_dead_peer: Callable[[asyncio.BaseTransport], None],
        table_publisher: TablePublisher,
        account_limits: AccountLimits | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.runner = runner
        self.directory = directory
        self.log = log
        self.detect_dead_peer = detect_dead_peer
        self.table_publisher = table_publisher
        self.account_limits = account_limits
        self.connections: set[HomeConnection] = set()
        self.forwarding_seen = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        self.server = await asyncio.get_running_loop().create_server(
            lambda: HomeConnection(self),
            self.host,
            self.port,
            reuse_address=True,
        )

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self.server:
            self.server.close()
        for connection in list(self.connections):
            connection.abort()

    def leave(self) -> None:
        """Ask the connected proxies to use other homes for new requests."""
        for connection in self.connections:
            connection.send(pack(0, Kind.LEAVING))

    def busy(self) -> bool:
        """Return whether a request or transaction of a proxy is open."""
        return any(
            connection.tasks or connection.transactions
            for connection in self.connections
        )

    async def resolve(self, session: ForwardedSession) -> bool:
        """Set the group of a session; return whether the group is known."""
        self.forwarding_seen.set()
        if not self.directory.servers_known:
            try:
                async with asyncio.timeout(SERVERS_TIMEOUT_SECONDS):
                    await self.directory.servers_loaded.wait()
            except TimeoutError:
                return False
        name = session.spec.group if session.spec else ""
        session.group = self.directory.groups.get(name)
        return session.group is not None
