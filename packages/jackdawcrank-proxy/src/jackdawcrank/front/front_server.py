"""TCP server for caller connections."""

import asyncio
import contextlib
import itertools
from collections.abc import Sequence

from absl import logging
from mysql_mimic.control import Control
from mysql_mimic.stream import MysqlStream

from jackdawcrank.front.bounded_reader import BoundedReader
from jackdawcrank.front.caller_connection import CallerConnection
from jackdawcrank.front.caller_session import CallerSession
from jackdawcrank.front.logins import Logins
from jackdawcrank.front.packets import error_packet, frame_packet
from jackdawcrank.front.statement_router import StatementRouter
from jackdawcrank.results.errors import not_run, shutting_down
from jackdawcrank.tasks import cancel_and_wait
from jackdawcrank_wire.messages import ResultError
from jackdawcrank_wire.settings import CallerLogin

PACKET_TIMEOUT_SECONDS = 10.0
LINGER_SECONDS = 0.3
MAX_CONNECTION_ID = 2**32
LISTEN_BACKLOG = 1024


class FrontServer:
    """Accepts caller connections and drains them on shutdown.

    Attributes:
      host: The address to listen on.
      port: The TCP port; after `start`, the one actually bound.
      connections: The open connections and their tasks.
      draining: Whether new connections are refused.
    """

    def __init__(
        self,
        host: str,
        port: int,
        logins: Sequence[CallerLogin],
        router: StatementRouter,
        session_prefix: str,
        max_statement_bytes: int,
        max_connections: int,
        login_timeout_seconds: float,
    ) -> None:
        self.host = host
        self.port = port
        self.logins = Logins(logins)
        self.router = router
        self.session_prefix = session_prefix
        self.max_statement_bytes = max_statement_bytes
        self.max_connections = max_connections
        self.login_timeout_seconds = login_timeout_seconds
        self.connection_ids = itertools.count(1)
        self.connections: dict[CallerConnection, asyncio.Task[None]] = {}
        self.server: asyncio.Server | None = None
        self.draining = False

    async def start(self) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self._make_protocol, self.host, self.port, backlog=LISTEN_BACKLOG
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Close all connections immediately."""
        self.draining = True
        self._stop_listening()
        await cancel_and_wait(self.connections.values())

    async def drain(self, timeout_seconds: float) -> int:
        """Close each connection after its current statement or transaction.

        Returns the number of connections closed at the timeout.

        Args:
          timeout_seconds: How long open transactions may continue, in
            seconds.
        """
        self.draining = True
        self._stop_listening()
        for connection, task in list(self.connections.items()):
            if await self._drain_connection(connection):
                asyncio.get_running_loop().call_later(
                    LINGER_SECONDS, task.cancel
                )
        tasks = list(self.connections.values())
        if not tasks:
            return 0
        _, pending = await asyncio.wait(tasks, timeout=timeout_seconds)
        for task in pending:
            task.cancel()
        return len(pending)

    async def _drain_connection(self, connection: CallerConnection) -> bool:
        try:
            return await connection.drain()
        except OSError:
            return True

    def _stop_listening(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        reader = BoundedReader(self.max_statement_bytes, PACKET_TIMEOUT_SECONDS)
        return asyncio.StreamReaderProtocol(reader, self._handle_connection)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        assert isinstance(reader, BoundedReader)
        if self.draining:
            # Accepted before listening stopped, but unknown to `drain`.
            await self._refuse(writer, shutting_down())
            return
        if len(self.connections) >= self.max_connections:
            full = not_run("overloaded", "Too many connections", 1040, "08004")
            await self._refuse(writer, full)
            return
        connection = self._make_connection(reader, writer)
        task = asyncio.current_task()
        assert task is not None
        self.connections[connection] = task
        try:
            await connection.serve()
        except asyncio.CancelledError:
            logging.debug("caller connection closed by the proxy")
        finally:
            del self.connections[connection]
            writer.close()

    def _make_connection(
        self, reader: BoundedReader, writer: asyncio.StreamWriter
    ) -> CallerConnection:
        connection_id = next(self.connection_ids) % MAX_CONNECTION_ID
        session = CallerSession(
            f"{self.session_prefix}-{connection_id}", self.router
        )
        connection = CallerConnection(
            reader,
            self.login_timeout_seconds,
            stream=MysqlStream(reader, writer),
            session=session,
            control=Control(),
            identity_provider=self.logins,
        )
        connection.connection_id = connection_id
        return connection

    async def _refuse(
        self, writer: asyncio.StreamWriter, error: ResultError
    ) -> None:
        with contextlib.suppress(OSError):
            writer.write(frame_packet(error_packet(error), 0))
            await writer.drain()
        writer.close()
