"""One MySQL connection to a backend server."""

import asyncio
import re
import socket
import time
from typing import Any

import asyncmy
import attrs
from asyncmy import errors as asyncmy_errors

from jackdawcrank.backend.answer import (
    ErrorAnswer,
    LostAnswer,
    OkAnswer,
    RowsAnswer,
    ServerAnswer,
)
from jackdawcrank.backend.endpoint import Endpoint
from jackdawcrank_policy.values import Position
from jackdawcrank_wire.messages import ColumnInfo

COM_RESET_CONNECTION = 0x1F
# A server answers these at once, however busy it is.
PROMPT_STATEMENTS = frozenset({"BEGIN"})
ERROR_TOO_MANY_CONNECTIONS = 1040
FIRST_CLIENT_ERROR = 2000
LAST_CLIENT_ERROR = 2999
# The kernel closes a connection whose data stays unacknowledged for 3 s, or an
# idle one after 10 s plus three unanswered keepalive probes 1 s apart.
TCP_LIMITS = {
    socket.TCP_USER_TIMEOUT: 3000,
    socket.TCP_KEEPIDLE: 10,
    socket.TCP_KEEPINTVL: 1,
    socket.TCP_KEEPCNT: 3,
}
_POSITION = re.compile(rb"position=(\d+):(\d+)")


@attrs.frozen
class ConnectFailed:
    """The connection could not be opened.

    Attributes:
      full: Whether the server has reached its connection limit.
      detail: A human-readable explanation.
    """

    full: bool
    detail: str


class ServerConnection:
    """One authenticated connection that runs one statement at a time.

    Attributes:
      server: The server's name.
      usable: Whether the connection may run another statement.
      last_answer_at: Monotonic time of the server's last answer, in seconds.
      dirty: Whether a reset must clear session state before reuse.
      statement_sent_at: Monotonic time at which the running statement was
        sent, in seconds; None while idle.
      prompt: Whether the running statement is one that the server answers at
        once.
    """

    def __init__(self, server: str, driver_connection: Any) -> None:
        self.server = server
        self.driver_connection = driver_connection
        self.usable = True
        self.dirty = False
        self.statement_sent_at: float | None = None
        self.prompt = False
        self.last_answer_at = time.monotonic()

    @classmethod
    async def open(
        cls, endpoint: Endpoint, timeout_seconds: float
    ) -> "ServerConnection | ConnectFailed":
        """Open a connection and authenticate.

        Args:
          endpoint: The server's address and credentials.
          timeout_seconds: The maximum duration, in seconds.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                driver_connection = await asyncmy.connect(
                    host=endpoint.host,
                    port=endpoint.port,
                    user=endpoint.user,
                    password=endpoint.password,
                    database=endpoint.database,
                    charset="utf8mb4",
                    autocommit=None,
                    conv={},
                    use_unicode=False,
                )
        except TimeoutError:
            return ConnectFailed(False, "no answer to the login in time")
        except (asyncmy_errors.MySQLError, OSError, EOFError) as error:
            return ConnectFailed(_error_code(error) == 1040, str(error))
        set_tcp_limits(driver_connection)
        return cls(endpoint.server, driver_connection)

    @property
    def ended(self) -> bool:
        """Return whether either end has closed the connection."""
        transport = self.driver_connection._transport
        return not self.usable or transport is None or transport.is_closing()

    async def run(
        self, sql: str | bytes, timeout_seconds: float
    ) -> ServerAnswer:
        """Run one statement and read its complete answer.

        The connection is closed if there is no complete answer in time.

        Args:
          sql: The statement.
          timeout_seconds: The maximum duration, in seconds.
        """
        if not self.usable:
            return LostAnswer(False, "the connection is closed")
        # Closing the connection at the deadline aborts the read below. This
        # is cheaper than a timeout context for every statement.
        loop = asyncio.get_running_loop()
        deadline_timer = loop.call_later(timeout_seconds, self.close)
        self.statement_sent_at = time.monotonic()
        self.prompt = sql in PROMPT_STATEMENTS
        try:
            await self.driver_connection.query(sql)
        except asyncmy_errors.MySQLError as error:
            return self._server_error(error)
        except asyncio.CancelledError:
            self.close()
            raise
        except (OSError, EOFError, RuntimeError, ValueError) as error:
            return self._lost(str(error) or type(error).__name__)
        finally:
            deadline_timer.cancel()
            self.statement_sent_at = None
        self.last_answer_at = time.monotonic()
        return _read_result(self.driver_connection._result)

    async def reset(self, timeout_seconds: float) -> bool:
        """Clear session state, roll back and return whether that succeeded.

        A connection that fails to reset is closed.

        Args:
          timeout_seconds: The maximum duration, in seconds.
        """
        if not self.usable:
            return False
        try:
            async with asyncio.timeout(timeout_seconds):
                await self.driver_connection._execute_command(
                    COM_RESET_CONNECTION, ""
                )
                await self.driver_connection._read_ok_packet()
        except (TimeoutError, asyncmy_errors.MySQLError, OSError, EOFError):
            self.close()
            return False
        except asyncio.CancelledError:
            self.close()
            raise
        self.last_answer_at = time.monotonic()
        self.dirty = False
        return True

    async def ping(self, timeout_seconds: float) -> bool:
        """Return whether the server answers a ping.

        A connection that fails to answer is closed.

        Args:
          timeout_seconds: The maximum duration, in seconds.
        """
        if not self.usable:
            return False
        try:
            async with asyncio.timeout(timeout_seconds):
                await self.driver_connection.ping(reconnect=False)
        except (TimeoutError, asyncmy_errors.MySQLError, OSError, EOFError):
            self.close()
            return False
        except asyncio.CancelledError:
            self.close()
            raise
        self.last_answer_at = time.monotonic()
        return True

    def close(self) -> None:
        """Close the connection immediately."""
        self.usable = False
        self.driver_connection.close()

    def _lost(self, detail: str) -> LostAnswer:
        self.close()
        return LostAnswer(True, detail)

    def _server_error(self, error: Exception) -> ServerAnswer:
        code = _error_code(error)
        if code == 0 or FIRST_CLIENT_ERROR <= code <= LAST_CLIENT_ERROR:
            return self._lost(str(error))
        self.last_answer_at = time.monotonic()
        sqlstate = getattr(error, "sqlstate", None) or "HY000"
        return ErrorAnswer(code, sqlstate, str(error.args[-1]))


def set_tcp_limits(driver_connection: Any) -> None:
    """Make the kernel close a connection whose packets are all lost.

    Args:
      driver_connection: The driver's connection.
    """
    raw = driver_connection._transport.get_extra_info("socket")
    if raw is None:
        return
    for option, value in TCP_LIMITS.items():
        raw.setsockopt(socket.IPPROTO_TCP, option, value)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def _error_code(error: BaseException) -> int:
    code = error.args[0] if error.args else 0
    return code if isinstance(code, int) else 0


def _read_result(result: Any) -> ServerAnswer:
    if result.fields:
        columns = tuple(_read_column(field) for field in result.fields)
        return RowsAnswer(columns, tuple(result.rows or ()))
    return OkAnswer(
        affected_rows=result.affected_rows or 0,
        last_insert_id=result.insert_id or 0,
        warnings=result.warning_count or 0,
        position=_read_position(result.message),
    )


def _read_column(field: Any) -> ColumnInfo:
    return ColumnInfo(
        name=field.name,
        type_code=field.type_code,
        charset=field.charsetnr,
        length=field.length,
        flags=field.flags,
        decimals=field.scale,
        table=field.table_name,
        original_name=field.org_name,
        original_table=field.org_table,
    )


def _read_position(message: bytes | None) -> Position | None:
    match = _POSITION.search(message) if message else None
    if match is None:
        return None
    return Position(int(match[1]), int(match[2]))
