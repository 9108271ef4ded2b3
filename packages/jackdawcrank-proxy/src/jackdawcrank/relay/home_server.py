"""The side of a home: runs what other proxies forward."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from jackdawcrank.decisions import DecisionLog
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
from jackdawcrank.relay.table_teller import TableTeller
from jackdawcrank.relay.transaction_view import Transaction
from jackdawcrank.seams.replies import Problem, Reply
from jackdawcrank_policy.catalog import DatabaseSpec
from jackdawcrank_policy.sessions import SessionContext
from jackdawcrank_policy.values.position import Position

# A home that was just chosen reads the servers first: one call.
SERVERS_WAIT_SECONDS = 1.0


@attrs.define(eq=False)
class ForwardedSession:
    """A session on another proxy, as far as one message tells.

    Attributes:
      database: The database that its caller named.
      spec: The declaration in force there.
      memory: Its session values.
      last_position: The newest commit that it was told of.
      read_only: Whether its transaction may not write.
      group: The group that serves it.
    """

    database: str
    spec: DatabaseSpec | None
    memory: SessionContext
    last_position: Position | None
    read_only: bool
    group: GroupRelay | None = None

    def saw(self, position: Position | None) -> None:
        """Take in the position of a commit of this session.

        Args:
          position: The position; None if the server told none.
        """
        if position and (
            self.last_position is None or position > self.last_position
        ):
            self.last_position = position


def decode_session(fields: Fields) -> ForwardedSession:
    """Return the session that was sent.

    Args:
      fields: The encoded session.
    """
    database, spec, values, position, read_only = fields
    return ForwardedSession(
        database,
        decode_spec(database, spec),
        SessionContext(values),
        decode_position(position),
        read_only,
    )


class HomeConnection(FrameProtocol):
    """One proxy that forwards to this home.

    Attributes:
      transactions: Its open transactions by number.
    """

    def __init__(self, home: "HomeServer") -> None:
        super().__init__()
        self.home = home
        self.transactions: dict[int, tuple[ForwardedSession, Transaction]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection."""
        super().connection_made(transport)
        self.home.detect_dead_peer(transport)
        self.home.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Roll back what the proxy left behind."""
        self.closed = True
        self.home.connections.discard(self)
        self.home.teller.forget(self)
        for _, transaction in self.transactions.values():
            transaction.undo()
        self.transactions.clear()

    def frame_received(self, body: bytes) -> None:
        """Take in a message."""
        try:
            number, kind, fields = unpack(body)
        except ValueError as error:
            self.home.log.event("peer_message_unreadable", detail=str(error))
            self.abort()
            return
        if kind is Kind.FOLLOW:
            self.home.teller.listen(self, (str(one) for one in fields))
        elif kind is Kind.UNDO:
            _, transaction = self.transactions.pop(fields[0], (None, None))
            if transaction is not None:
                transaction.undo()
        else:
            self.begin(self.serve(number, kind, fields))

    def begin(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a piece of work beside others."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, number: int, kind: Kind, fields: Fields) -> None:
        """Run a request and answer it."""
        handlers = {
            Kind.RUN: self.run,
            Kind.BEGIN: self.open,
            Kind.RUN_IN_TRANSACTION: self.run_in_transaction,
            Kind.COMMIT: self.commit,
        }
        try:
            await handlers[kind](number, fields)
        except (KeyError, IndexError, TypeError, ValueError) as error:
            # A peer of another version; what it left open is rolled back.
            self.home.log.event("peer_message_unreadable", detail=repr(error))
            self.abort()

    def answer(
        self, number: int, session: ForwardedSession | None, reply: Reply
    ) -> None:
        """Send an answer."""
        seen = session.last_position if session else None
        self.send(
            pack(
                number, Kind.ANSWER, encode_reply(reply), encode_position(seen)
            )
        )

    async def run(self, number: int, fields: Fields) -> None:
        """Run a statement outside a transaction."""
        session = decode_session(fields[0])
        execution = decode_execution(fields[1])
        if execution is None or not await self.home.resolve(session):
            self.answer(number, session, not_served())
            return
        reply = await self.home.runner.run_single(session, execution)
        self.answer(number, session, reply)

    async def open(self, number: int, fields: Fields) -> None:
        """Open a transaction; its number is that of the request."""
        session = decode_session(fields[0])
        if not await self.home.resolve(session):
            self.answer(number, session, not_served())
            return
        opened = await self.home.runner.begin(
            session, decode_execution(fields[1])
        )
        if isinstance(opened, Reply):
            self.answer(number, session, opened)
        elif self.closed:
            opened.undo()
        else:
            self.transactions[number] = (session, opened)
            self.answer(number, session, Reply())

    async def run_in_transaction(self, number: int, fields: Fields) -> None:
        """Run a statement of an open transaction."""
        found = self.transactions.get(fields[0])
        execution = decode_execution(fields[1])
        if found is None or execution is None:
            self.answer(number, None, transaction_gone())
            return
        session, transaction = found
        session.memory.values = fields[2]
        reply = await transaction.run(session, execution)
        self.answer(number, session, reply)

    async def commit(self, number: int, fields: Fields) -> None:
        """Commit an open transaction."""
        found = self.transactions.pop(fields[0], None)
        if found is None:
            self.answer(number, None, transaction_gone())
            return
        session, transaction = found
        reply = await transaction.commit(session, fields[1])
        self.answer(number, session, reply)


def not_served() -> Reply:
    """Return that this home does not know the group's servers."""
    return Reply(problem=Problem.BUSY, detail="the group is not known here")


def transaction_gone() -> Reply:
    """Return that a transaction is not open here."""
    detail = "the transaction is not open any more"
    return Reply(problem=Problem.ROLLED_BACK, detail=detail)


class HomeServer:
    """Listens for other proxies.

    Attributes:
      runner: Runs what they forward.
      directory: Knows the groups.
      connections: The proxies that are connected.
      teller: Tells them what the store's tables hold.
    """

    def __init__(
        self,
        host: str,
        port: int,
        runner: StatementRunner,
        directory: Directory,
        log: DecisionLog,
        detect_dead_peer: Callable[[asyncio.BaseTransport], None],
        teller: TableTeller,
    ) -> None:
        self.host = host
        self.port = port
        self.runner = runner
        self.directory = directory
        self.log = log
        self.detect_dead_peer = detect_dead_peer
        self.teller = teller
        self.connections: set[HomeConnection] = set()
        self.wanted = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to listen."""
        self.server = await asyncio.get_running_loop().create_server(
            lambda: HomeConnection(self),
            self.host,
            self.port,
            reuse_address=True,
        )

    async def close(self) -> None:
        """Stop listening and end every stream."""
        if self.server:
            self.server.close()
        for connection in list(self.connections):
            connection.abort()

    def leave(self) -> None:
        """Tell the proxies to choose other homes for new work."""
        for connection in self.connections:
            connection.send(pack(0, Kind.LEAVING))

    def busy(self) -> bool:
        """Return whether anything of another proxy is under way."""
        return any(one.tasks or one.transactions for one in self.connections)

    async def resolve(self, session: ForwardedSession) -> bool:
        """Find a session's group; return whether it can be served."""
        self.wanted.set()
        if not self.directory.servers_known:
            try:
                async with asyncio.timeout(SERVERS_WAIT_SECONDS):
                    await self.directory.servers_seen.wait()
            except TimeoutError:
                return False
        name = session.spec.group if session.spec else ""
        session.group = self.directory.groups.get(name)
        return session.group is not None
