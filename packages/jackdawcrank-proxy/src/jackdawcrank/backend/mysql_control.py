"""Control of a backend server over the MySQL protocol."""

import asyncio

from jackdawcrank.backend.answer import (
    ErrorAnswer,
    OkAnswer,
    RowsAnswer,
    ServerAnswer,
)
from jackdawcrank.backend.endpoint import Endpoint
from jackdawcrank.backend.server_connection import (
    ConnectFailed,
    ServerConnection,
)
from jackdawcrank.backend.server_control import (
    Accepted,
    Refused,
    Unreachable,
)
from jackdawcrank_policy.values import Position, ServerReport, ServerRole

PROBE_SQL = (
    "SELECT CONCAT_WS(' ', @@group_term, @@group_role, @@log_position,"
    " @@group_caught_up) AS report"
)
CONFIRM_MARGIN_SECONDS = 0.2


class MysqlControl:
    """Probes, fences and announces primaries on dedicated connections.

    Probes and commands do not wait for a connection of the pool.

    Attributes:
      endpoint: The server's address and credentials.
      name: The server's name.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.name = endpoint.server
        self.probe_connection: ServerConnection | None = None
        self.command_connection: ServerConnection | None = None
        self.idle_confirm_connections: list[ServerConnection] = []
        self.probe_lock = asyncio.Lock()
        self.command_lock = asyncio.Lock()

    async def close(self) -> None:
        """Close all connections to the server."""
        connections = [
            self.probe_connection,
            self.command_connection,
            *self.idle_confirm_connections,
        ]
        for connection in connections:
            if connection is not None:
                connection.close()
        self.idle_confirm_connections.clear()

    async def probe(self, timeout_seconds: float) -> ServerReport | Unreachable:
        """Read the server's term, role and position.

        Args:
          timeout_seconds: The maximum duration, in seconds.
        """
        async with self.probe_lock:
            connection = await self._usable_connection(
                self.probe_connection, timeout_seconds
            )
            if isinstance(connection, Unreachable):
                return connection
            self.probe_connection = connection
            answer = await connection.run(PROBE_SQL, timeout_seconds)
        return self._read_report(answer)

    async def fence(
        self, term: int, timeout_seconds: float
    ) -> Accepted | Refused | Unreachable:
        """Raise the server's fence to a term.

        Args:
          term: The new term.
          timeout_seconds: The maximum duration, in seconds.
        """
        sql = f"SET GLOBAL group_term = {term:d}"
        return await self._run_command(sql, timeout_seconds)

    async def announce_primary(
        self, term: int, offset: int, primary: str, timeout_seconds: float
    ) -> Accepted | Refused | Unreachable:
        """Announce a term's primary and start offset to the server.

        Args:
          term: The term.
          offset: The offset of the last entry kept from earlier terms.
          primary: The primary's server name.
          timeout_seconds: The maximum duration, in seconds.
        """
        sql = f"SET GLOBAL group_primary = '{term:d}:{offset:d}:{primary}'"
        return await self._run_command(sql, timeout_seconds)

    async def confirm(
        self, position: Position, timeout_seconds: float
    ) -> int | None:
        """Return the server's term once it has reached a position.

        Returns None if it does not in time.

        Args:
          position: The position to wait for.
          timeout_seconds: The maximum duration, in seconds.
        """
        idle_connection = (
            self.idle_confirm_connections.pop()
            if self.idle_confirm_connections
            else None
        )
        connection = await self._usable_connection(
            idle_connection, timeout_seconds
        )
        if isinstance(connection, Unreachable):
            return None
        sql = f"SELECT WAIT_FOR_LOG_POSITION('{position}', {timeout_seconds})"
        limit = timeout_seconds + CONFIRM_MARGIN_SECONDS
        answer = await connection.run(sql, limit)
        if connection.usable:
            self.idle_confirm_connections.append(connection)
        if not isinstance(answer, RowsAnswer) or not answer.rows:
            return None
        term = answer.rows[0][0]
        return None if term is None else int(term)

    async def _run_command(
        self, sql: str, timeout_seconds: float
    ) -> Accepted | Refused | Unreachable:
        async with self.command_lock:
            connection = await self._usable_connection(
                self.command_connection, timeout_seconds
            )
            if isinstance(connection, Unreachable):
                return connection
            self.command_connection = connection
            answer = await connection.run(sql, timeout_seconds)
        if isinstance(answer, OkAnswer):
            return Accepted()
        if isinstance(answer, ErrorAnswer):
            return Refused(answer.code, answer.message)
        return Unreachable(str(answer))

    async def _usable_connection(
        self, connection: ServerConnection | None, timeout_seconds: float
    ) -> ServerConnection | Unreachable:
        if connection is not None and connection.usable:
            return connection
        opened = await ServerConnection.open(self.endpoint, timeout_seconds)
        if isinstance(opened, ConnectFailed):
            return Unreachable(opened.detail)
        return opened

    def _read_report(self, answer: ServerAnswer) -> ServerReport | Unreachable:
        if not isinstance(answer, RowsAnswer) or not answer.rows:
            return Unreachable(str(answer))
        try:
            texts = (answer.rows[0][0] or b"").decode().split(" ")
            return ServerReport(
                server=self.name,
                term=int(texts[0]),
                role=ServerRole(texts[1]),
                position=Position.parse(texts[2]),
                caught_up=texts[3] == "1",
            )
        except (ValueError, IndexError) as error:
            return Unreachable(f"not a report: {error}")
