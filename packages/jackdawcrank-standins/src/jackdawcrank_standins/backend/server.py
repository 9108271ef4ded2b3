"""A backend server."""

import asyncio
import collections
import random
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.control import LocalControl
from mysql_mimic.stream import MysqlStream
from mysql_mimic.types import Capabilities

from jackdawcrank_policy.values import Position
from jackdawcrank_standins.backend.accounts import Accounts
from jackdawcrank_standins.backend.connection import BackendConnection
from jackdawcrank_standins.backend.database import Database
from jackdawcrank_standins.backend.errors import (
    READ_ONLY,
    TOO_MANY_CONNECTIONS,
    Failure,
    unknown_error,
)
from jackdawcrank_standins.backend.exact_reader import ExactReader
from jackdawcrank_standins.backend.executed_statement import (
    ExecutedStatement,
    Fate,
)
from jackdawcrank_standins.backend.gate import Gate
from jackdawcrank_standins.backend.replication import Replication
from jackdawcrank_standins.backend.replication_log import LogEntry
from jackdawcrank_standins.backend.session import Session
from jackdawcrank_standins.backend.statement_context import Scalar
from jackdawcrank_standins.backend.transaction import Transaction
from jackdawcrank_standins.backend.write_lock import WriteLock

if TYPE_CHECKING:
    from jackdawcrank_standins.backend.group import BackendGroup

CAPABILITIES = (
    DEFAULT_SERVER_CAPABILITIES
    | Capabilities.CLIENT_TRANSACTIONS
    | Capabilities.CLIENT_LONG_FLAG
    | Capabilities.CLIENT_MULTI_RESULTS
    | Capabilities.CLIENT_PS_MULTI_RESULTS
)
EXECUTED_LIMIT = 200_000
DEFAULT_PASSWORDS = {"proxy": "proxy"}
IDLE_SECONDS = 10.0

PAUSED = "paused"
PARTITIONED = "partitioned"


class BackendServer:
    """A MySQL-speaking server of one database group, held in memory.

    Attributes:
      name: The server's name.
      group: The database group; its name is the database's name.
      slots: How many statements run at once.
      connection_limit: How many clients may be connected.
      connect_seconds: What a new connection costs.
      lag_seconds: How long after its commit an entry is applied here.
      statement_seconds: The service time of each statement.
      slow_seconds: What a fault adds to the service time.
      idle_seconds: When a silent connection is given up.
      database: The data.
      replication: The log, the fence and what this server follows.
      process: Blocked while the process is paused.
      network: Blocked while clients' packets do not pass.
      running: How many statements run now.
      connections: The open connections by number.
      executed: The newest statements that ran.
      broken: Unexpected errors; there should be none.
      variables: The server's own variables.
    """

    def __init__(
        self,
        name: str,
        group: "BackendGroup",
        slots: int = 4,
        connection_limit: int = 90,
        connect_seconds: float = 0.0,
        lag_seconds: float = 0.0,
        statement_seconds: float = 0.0,
        passwords: Mapping[str, str] | None = None,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.group = group
        self.slots = slots
        self.connection_limit = connection_limit
        self.connect_seconds = connect_seconds
        self.declared_lag_seconds = lag_seconds
        self.lag_seconds = lag_seconds
        self.statement_seconds = statement_seconds
        self.slow_seconds = 0.0
        self.idle_seconds = IDLE_SECONDS
        self.accounts = Accounts(passwords or DEFAULT_PASSWORDS)
        self.randomness = random.Random(f"{seed}:{name}")
        self.database = Database(group.name)
        self.replication = Replication(self)
        group.add(self)
        self.process = Gate()
        self.network = Gate()
        self.running = 0
        self.free_slots = asyncio.Semaphore(slots)
        self.write_lock = WriteLock()
        self.control = LocalControl()
        self.connections: dict[int, BackendConnection] = {}
        self.silenced: list[BackendConnection] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.executed: collections.deque[ExecutedStatement] = collections.deque(
            maxlen=EXECUTED_LIMIT
        )
        self.broken: list[Exception] = []
        self.transactions = 0
        self.connection_count = 0
        self.host = "127.0.0.1"
        self.port = 0
        self.listener: asyncio.Server | None = None
        self.variables: dict[str, Callable[[], Scalar]] = {
            "group_term": lambda: self.replication.fence_term,
            "group_role": lambda: str(self.replication.role),
            "log_position": lambda: str(self.replication.log.end),
            "group_caught_up": lambda: int(self.replication.caught_up()),
            "log_divergent": lambda: self.divergent,
            "server_name": lambda: self.name,
            "read_only": lambda: int(not self.replication.writable),
            "hostname": lambda: self.name,
            "max_connections": lambda: self.connection_limit,
        }

    @property
    def up(self) -> bool:
        """Return whether the process runs."""
        return self.listener is not None

    @property
    def paused(self) -> bool:
        """Return whether the process is paused."""
        return PAUSED in self.process.reasons

    @property
    def partitioned(self) -> bool:
        """Return whether clients' packets vanish."""
        return PARTITIONED in self.network.reasons

    @property
    def divergent(self) -> int:
        """Return how many entries were removed as a divergent tail."""
        return self.replication.divergent

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Begin to serve.

        Args:
          host: The IP address to listen on.
          port: The TCP port; 0 picks a free one.
        """
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(self.new_protocol, host, port)
        self.host = host
        self.port = self.listener.sockets[0].getsockname()[1]
        self.replication.start()

    def new_protocol(self) -> asyncio.StreamReaderProtocol:
        """Return the protocol of a new connection."""
        return asyncio.StreamReaderProtocol(ExactReader(), self.accept)

    async def close(self) -> None:
        """Stop serving and free the data."""
        await self.stop()
        self.database.close()

    async def stop(self) -> None:
        """Crash: cut all connections, keep what is committed."""
        listener, self.listener = self.listener, None
        if listener is not None:
            listener.close()
        await self.replication.close()
        tasks = list(self.tasks)
        cut = [*self.connections.values(), *self.silenced]
        self.silenced.clear()
        for connection in cut:
            connection.forgotten.set()
            connection.stream.writer.transport.abort()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.resume()

    async def restart(self) -> None:
        """Start again on the same port after a crash."""
        if not self.up:
            await self.start(self.host, self.port)

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a new connection."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            silent = await self.serve(reader, writer)
        except asyncio.CancelledError:
            # The stop of the server ends its connections this way.
            silent = False
        finally:
            self.tasks.discard(task)
        if not silent:
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Run a client's statements; return whether it went silent."""
        self.connection_count += 1
        number = self.connection_count
        session = Session(self, number)
        connection = BackendConnection(
            self,
            session,
            stream=MysqlStream(reader, writer),
            control=self.control,
            identity_provider=self.accounts,
            server_capabilities=CAPABILITIES,
        )
        await connection.pass_network()
        if len(self.connections) >= self.connection_limit:
            refusal = connection.error_packet(TOO_MANY_CONNECTIONS)
            await connection.write_packets([refusal])
            return False
        self.connections[number] = connection
        try:
            await asyncio.sleep(self.connect_seconds)
            await connection.serve()
        finally:
            session.close()
            del self.connections[number]
        return connection.silent

    def kill(self, number: int) -> None:
        """Cut a connection.

        Raises:
          Failure: There is no such connection.
        """
        connection = self.connections.get(number)
        if connection is None:
            raise Failure(1094, "HY000", f"Unknown thread id: {number}")
        connection.stream.writer.transport.abort()

    def pause(self) -> None:
        """Pause the process: it answers nothing, its sockets stay open."""
        self.process.block(PAUSED)
        self.network.block(PAUSED)

    def resume(self) -> None:
        """Let a paused process go on where it was."""
        self.process.unblock(PAUSED)
        self.network.unblock(PAUSED)
        self.group.wake_all()

    def set_lag(self, seconds: float) -> None:
        """Set how long after its commit an entry is applied here."""
        self.lag_seconds = seconds
        self.replication.wake()

    def silence(self) -> None:
        """Make all open connections silent for good."""
        for connection in self.connections.values():
            connection.silence()
            self.silenced.append(connection)

    def note_broken(self, error: Exception) -> None:
        """Keep an unexpected error for tests to see."""
        self.broken.append(error)

    async def begin_work(self) -> None:
        """Take a slot and spend a statement's service time."""
        await self.free_slots.acquire()
        self.running += 1
        try:
            seconds = self.statement_seconds + self.slow_seconds
            if seconds > 0:
                await asyncio.sleep(seconds)
            await self.process.wait()
        except BaseException:
            self.end_work()
            raise

    def end_work(self) -> None:
        """Give a slot back."""
        self.running -= 1
        self.free_slots.release()

    def require_writable(self) -> None:
        """Refuse a write unless this server is the group's primary.

        Raises:
          Failure: It is a replica or fenced.
        """
        if not self.replication.writable:
            raise READ_ONLY

    def new_transaction(self) -> Transaction:
        """Return a new transaction."""
        self.transactions += 1
        return Transaction(self.transactions, self.replication.fence_term)

    async def lock(self, transaction: Transaction, seconds: float) -> bool:
        """Make a transaction the one that may write.

        Args:
          transaction: The transaction.
          seconds: How long to wait for the present writer.

        Returns:
          False if the present writer goes on for too long.

        Raises:
          Failure: The server may not write any more.
        """
        if not await self.write_lock.acquire(transaction, seconds):
            return False
        if transaction.aborted or not self.may_commit(transaction):
            self.write_lock.release(transaction)
            raise READ_ONLY
        transaction.holds_lock = True
        self.database.begin()
        return True

    def may_commit(self, transaction: Transaction) -> bool:
        """Return whether a transaction began under the present fence."""
        same_term = transaction.fence_term == self.replication.fence_term
        return same_term and self.replication.writable

    def commit(self, transaction: Transaction) -> Position | None:
        """Commit a transaction.

        Args:
          transaction: The transaction.

        Returns:
          The position of its log entry; None if it wrote nothing.

        Raises:
          Failure: The fence rose since it began; it is rolled back.
        """
        if transaction.aborted:
            raise READ_ONLY
        if not transaction.wrote:
            self.finish(transaction, Fate.COMMITTED, None)
            return None
        if not self.may_commit(transaction):
            self.rollback(transaction)
            raise READ_ONLY
        entry = LogEntry(
            self.replication.next_position(),
            tuple(transaction.statements),
            asyncio.get_running_loop().time(),
            transaction.changes_schema,
        )
        self.database.commit(entry)
        self.finish(transaction, Fate.COMMITTED, entry.position)
        self.replication.append(entry)
        return entry.position

    def rollback(self, transaction: Transaction) -> None:
        """Roll a transaction back, unless it has ended."""
        self.finish(transaction, Fate.ROLLED_BACK, None)

    def rollback_to(self, transaction: Transaction, length: int) -> None:
        """Undo all but a transaction's first writes."""
        if not transaction.holds_lock:
            return
        self.database.rollback()
        self.database.begin()
        del transaction.statements[length:]
        self.database.replay(transaction.statements)

    def finish(
        self,
        transaction: Transaction,
        fate: Fate,
        position: Position | None,
    ) -> None:
        """End a transaction and let the next writer in."""
        for record in transaction.executed:
            record.fate = fate
            record.position = position
        transaction.executed = []
        if transaction.holds_lock:
            self.database.rollback()
            transaction.holds_lock = False
            self.write_lock.release(transaction)

    def abort_writer(self) -> None:
        """Roll the open writer back, because the fence rose."""
        writer = self.write_lock.holder
        if isinstance(writer, Transaction) and writer.holds_lock:
            writer.aborted = True
            self.rollback(writer)

    def record(
        self,
        connection_id: int,
        transaction: Transaction | None,
        sql: str,
        writes: bool,
    ) -> ExecutedStatement:
        """Note that a statement runs."""
        record = ExecutedStatement(
            time=asyncio.get_running_loop().time(),
            connection_id=connection_id,
            transaction=0 if transaction is None else transaction.number,
            sql=sql,
            term=self.replication.fence_term,
            writes=writes,
            on_primary=self.replication.writable,
            fate=Fate.COMMITTED if transaction is None else Fate.OPEN,
        )
        self.executed.append(record)
        return record

    def fence(self, term: Scalar) -> None:
        """Raise the fence term.

        Raises:
          Failure: The term is below the present one.
        """
        if not isinstance(term, int):
            raise Failure(1232, "42000", "group_term is a number")
        self.replication.fence(term)

    def announce(self, text: str) -> None:
        """Take notice of a term's primary, written `term:offset:name`.

        Raises:
          Failure: The text is malformed or the notice is refused.
        """
        parts = text.split(":", 2)
        if len(parts) != 3 or not all(p.isdecimal() for p in parts[:2]):
            raise unknown_error(f"malformed group_primary: {text[:80]}")
        self.replication.announce(int(parts[0]), int(parts[1]), parts[2])

    async def wait_for_position(self, text: str, seconds: float) -> int | None:
        """Wait until a position is applied.

        Args:
          text: The position, written `term:offset`.
          seconds: How long to wait at most.

        Returns:
          The fence term then; None if the time ran out or the position is
          not on this server's branch.

        Raises:
          Failure: The text is malformed.
        """
        try:
            position = Position.parse(text)
        except ValueError as error:
            raise unknown_error(str(error)) from error
        held = await self.replication.wait_for(position, seconds)
        await self.process.wait()
        return self.replication.fence_term if held else None
