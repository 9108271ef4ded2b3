"""MySQL connection of one caller."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from absl import logging
from mysql_mimic import ColumnType, ResultColumn, packets
from mysql_mimic.connection import Connection
from mysql_mimic.errors import MysqlError
from mysql_mimic.prepared import PreparedStatement
from mysql_mimic.stream import ConnectionClosed
from mysql_mimic.types import Commands, ServerStatus

from jackdawcrank.front.binary_rows import binary_row, encoder_for
from jackdawcrank.front.bounded_reader import (
    BoundedReader,
    StatementTooLarge,
)
from jackdawcrank.front.caller_session import CallerSession
from jackdawcrank.front.execute_command import (
    Prepared,
    decode_sql,
    read_execute,
    read_query,
)
from jackdawcrank.front.packets import (
    column_count_packet,
    column_packet,
    end_packet,
    error_packet,
    frame_packet,
    ok_packet,
)
from jackdawcrank.front.prepared_text import split_placeholders
from jackdawcrank.front.statement_handlers import handle_statement
from jackdawcrank.results.errors import not_run, not_supported, shutting_down
from jackdawcrank_wire.messages import (
    ResultError,
    ResultOk,
    ResultRows,
    StatementResult,
)

ROWS_PER_WRITE = 500
MAX_PREPARED_STATEMENTS = 1024
FIRST_ANSWER_SEQUENCE = 1
# Status flags by autocommit and open transaction. They are precomputed because
# combining enum flags is slow.
_STATUS = {
    (autocommit, in_transaction): ServerStatus(
        autocommit * ServerStatus.SERVER_STATUS_AUTOCOMMIT
        | in_transaction * ServerStatus.SERVER_STATUS_IN_TRANS
    )
    for autocommit in (False, True)
    for in_transaction in (False, True)
}
_TEXT_COLUMN = ResultColumn("", ColumnType.STRING)


class LoginRefused(Exception):
    """A caller failed to authenticate."""


class CallerConnection(Connection):
    """Serves the MySQL protocol to one caller.

    Attributes:
      session: The caller's session.
      busy: Whether a command is being served.
      closing: Whether the connection closes after the current command.
    """

    session: CallerSession

    def __init__(
        self,
        reader: BoundedReader,
        login_timeout_seconds: float,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.reader = reader
        self.login_timeout_seconds = login_timeout_seconds
        self.status_flags = ServerStatus.SERVER_STATUS_AUTOCOMMIT
        self.prepared: dict[int, Prepared] = {}
        self.cached_capabilities = self.capabilities
        self.cached_deprecate_eof = False
        self.busy = False
        self.closing = False
        self.logged_in = False
        reader.on_eof = self._caller_disconnected

    async def serve(self) -> None:
        """Serve the caller until either side closes."""
        try:
            async with asyncio.timeout(self.login_timeout_seconds):
                await self.connection_phase()
            self.logged_in = True
            await self.command_phase()
        except (LoginRefused, ConnectionClosed, MysqlError) as error:
            logging.debug("caller connection closed: %s", error)
        except (OSError, EOFError, TimeoutError) as error:
            logging.debug("caller connection lost: %s", error)
        except (ValueError, IndexError, KeyError, LookupError) as error:
            logging.info("malformed packet from a caller: %s", error)
        finally:
            await self.session.close()

    async def authenticate(self, *args: Any, **kwargs: Any) -> None:
        """Authenticate the caller.

        Raises:
          LoginRefused: The user name or password is wrong.
        """
        self.session.username = None
        await super().authenticate(*args, **kwargs)
        if self.session.username is None:
            raise LoginRefused("wrong user name or password")

    async def command_phase(self) -> None:
        """Serve commands until the connection closes."""
        while not self.closing:
            try:
                data = await self.stream.read()
            except StatementTooLarge as error:
                await self._refuse_too_large(error)
                return
            if self.closing:
                # The shutdown error sent in the meantime answers this command.
                return
            self.busy = True
            try:
                if not await self._serve_command(data):
                    return
            finally:
                self.busy = False
                self.stream.reset_seq()
        await self._send_shutdown_error()

    async def drain(self) -> bool:
        """Close the connection after the current statement or transaction.

        Returns whether the connection was idle and is closing now. An open
        transaction may continue until it ends.
        """
        if self.busy or self.session.in_transaction:
            self.session.on_statement_end = self._close_if_no_transaction
            return False
        self.closing = True
        if self.logged_in:
            await self._send_shutdown_error()
        return True

    async def handle_query(self, data: bytes) -> None:
        """Run a statement and answer in the text protocol.

        Args:
          data: The command without its first byte.
        """
        command = read_query(data, self.capabilities)
        result = await handle_statement(
            self.session, command.sql, command.attributes
        )
        await self._write_result(result)

    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Prepare a statement.

        Args:
          data: The command without its first byte.
        """
        if len(self.prepared_stmts) >= MAX_PREPARED_STATEMENTS:
            error = not_supported("too many prepared statements")
            await self.stream.write(error_packet(error))
            return
        text = split_placeholders(decode_sql(data))
        statement_id = next(self.prepared_stmt_seq)
        statement = PreparedStatement(statement_id, "", text.parameter_count)
        self.prepared_stmts[statement_id] = statement
        self.prepared[statement_id] = Prepared(text)
        for packet in self.com_stmt_prepare_response(statement):
            await self.stream.write(packet, drain=False)
        await self.stream.drain()

    async def handle_stmt_close(self, data: bytes) -> None:
        """Discard a prepared statement.

        Args:
          data: The command without its first byte.
        """
        await super().handle_stmt_close(data)
        statement_id = packets.parse_com_stmt_close(data).stmt_id
        self.prepared.pop(statement_id, None)

    async def handle_stmt_send_long_data(self, data: bytes) -> None:
        """Store a chunk of a parameter value sent before the execution.

        Args:
          data: The command without its first byte.
        """
        part = packets.parse_com_stmt_send_long_data(data)
        prepared = self.prepared.get(part.stmt_id)
        if prepared is None:
            return
        value = prepared.long_data.setdefault(part.param_id, bytearray())
        if len(value) + len(part.data) <= self.reader.max_bytes:
            value.extend(part.data)

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Run a prepared statement and answer in the binary protocol.

        Args:
          data: The command without its first byte.
        """
        statement = self.get_stmt(int.from_bytes(data[:4], "little"))
        prepared = self.prepared[statement.stmt_id]
        command = read_execute(data, prepared, self.capabilities)
        prepared.long_data.clear()
        result = await handle_statement(
            self.session, command.sql, command.attributes
        )
        if not isinstance(result, ResultRows):
            await self._write_result(result)
        elif command.use_cursor:
            await self._open_cursor(statement, result)
        else:
            await self._write_binary_rows(result)

    async def handle_stmt_reset(self, data: bytes) -> None:
        """Discard a prepared statement's long data and cursor.

        Args:
          data: The command without its first byte.
        """
        statement = self.get_stmt(packets.parse_com_stmt_reset(data).stmt_id)
        self.prepared[statement.stmt_id].long_data.clear()
        statement.cursor = None
        await self.stream.write(self.ok())

    async def handle_reset_connection(self, data: bytes) -> None:
        """Roll back and reset the session's state.

        Args:
          data: The command without its first byte.
        """
        self.prepared_stmts.clear()
        self.prepared.clear()
        await self.session.reset()
        await self.stream.write(self.ok())

    async def handle_field_list(self, data: bytes) -> None:
        """Reject COM_FIELD_LIST, which MySQL has removed.

        Args:
          data: The command without its first byte.
        """
        error = not_supported("COM_FIELD_LIST")
        await self.stream.write(error_packet(error))

    async def handle_init_db(self, data: bytes) -> None:
        """Select a database group.

        Args:
          data: The command without its first byte.
        """
        name = packets.parse_com_init_db(self.client_charset, data)
        result = await self.session.use_group(name)
        await self._write_result(result)

    def ok(self, **kwargs: Any) -> bytes:
        """Return an OK packet with the session's status flags.

        Args:
          **kwargs: The packet's other fields.
        """
        self.status_flags = self._status()
        return bytes(super().ok(**kwargs))

    def eof(self, **kwargs: Any) -> bytes:
        """Return an EOF packet with the session's status flags.

        Args:
          **kwargs: The packet's other fields.
        """
        self.status_flags = self._status()
        return bytes(super().eof(**kwargs))

    def deprecate_eof(self) -> bool:
        """Return whether the driver expects OK instead of EOF packets."""
        if self.capabilities != self.cached_capabilities:
            self.cached_capabilities = self.capabilities
            self.cached_deprecate_eof = bool(super().deprecate_eof())
        return self.cached_deprecate_eof

    def _end(self, warnings: int) -> bytes:
        return end_packet(self.deprecate_eof(), self._status(), warnings)

    def _status(self) -> ServerStatus:
        session = self.session
        return _STATUS[session.autocommit, session.in_transaction]

    async def _serve_command(self, data: bytes) -> bool:
        if not data or data[0] == Commands.COM_QUIT:
            return False
        try:
            await self._dispatch(data[0], data[1:])
        except MysqlError as error:
            await self.stream.write(self.error(msg=error.msg, code=error.code))
        return True

    async def _dispatch(self, command: int, payload: bytes) -> None:
        handler = _HANDLERS.get(command)
        if handler is None:
            error = not_supported(f"command {command:#04x}")
            await self.stream.write(error_packet(error))
            return
        await handler(self, payload)

    async def _write_result(self, result: StatementResult) -> None:
        match result:
            case ResultOk():
                self.status_flags = self._status()
                packet = ok_packet(self.capabilities, self.status_flags, result)
                await self.stream.write(packet)
            case ResultError():
                await self.stream.write(error_packet(result))
            case ResultRows():
                await self._write_text_rows(result)

    async def _write_text_rows(self, result: ResultRows) -> None:
        self._write_header(result)
        columns = [_TEXT_COLUMN] * len(result.columns)
        for start in range(0, len(result.rows), ROWS_PER_WRITE):
            rows = list(result.rows[start : start + ROWS_PER_WRITE])
            self.stream.write_text_rows(rows, columns)
            if len(result.rows) > ROWS_PER_WRITE:
                await self.stream.drain()
        await self.stream.write(self._end(result.warnings))

    async def _write_binary_rows(self, result: ResultRows) -> None:
        self._write_header(result)
        async for packet in _binary_packets(result):
            await self.stream.write(packet, drain=False)
        await self.stream.write(self._end(result.warnings))

    async def _open_cursor(self, statement: Any, result: ResultRows) -> None:
        self._write_header(result, end=False)
        statement.cursor = _binary_packets(result)
        flags = ServerStatus.SERVER_STATUS_CURSOR_EXISTS
        await self.stream.write(self.ok_or_eof(flags=flags))

    def _write_header(self, result: ResultRows, end: bool = True) -> None:
        header = [column_count_packet(len(result.columns))]
        header.extend(column_packet(column) for column in result.columns)
        if end and not self.deprecate_eof():
            header.append(self._end(0))
        self.stream.write_many(header)

    async def _refuse_too_large(self, error: StatementTooLarge) -> None:
        result = not_run("too_large", str(error), code=1153, sqlstate="08S01")
        await self.stream.write(error_packet(result))

    async def _send_shutdown_error(self) -> None:
        # A caller that sends a statement at the same time takes this packet as
        # its answer. That is correct: the statement is not run.
        packet = error_packet(shutting_down())
        self.stream.writer.write(frame_packet(packet, FIRST_ANSWER_SEQUENCE))
        await self.stream.writer.drain()

    def _close_if_no_transaction(self) -> None:
        self.closing = not self.session.in_transaction

    def _caller_disconnected(self) -> None:
        if self.logged_in:
            self.session.caller_disconnected()


_HANDLERS = {
    Commands.COM_QUERY: CallerConnection.handle_query,
    Commands.COM_STMT_PREPARE: CallerConnection.handle_stmt_prepare,
    Commands.COM_STMT_SEND_LONG_DATA: (
        CallerConnection.handle_stmt_send_long_data
    ),
    Commands.COM_STMT_EXECUTE: CallerConnection.handle_stmt_execute,
    Commands.COM_STMT_FETCH: CallerConnection.handle_stmt_fetch,
    Commands.COM_STMT_RESET: CallerConnection.handle_stmt_reset,
    Commands.COM_STMT_CLOSE: CallerConnection.handle_stmt_close,
    Commands.COM_PING: CallerConnection.handle_ping,
    Commands.COM_CHANGE_USER: CallerConnection.handle_change_user,
    Commands.COM_RESET_CONNECTION: CallerConnection.handle_reset_connection,
    Commands.COM_INIT_DB: CallerConnection.handle_init_db,
    Commands.COM_FIELD_LIST: CallerConnection.handle_field_list,
}


async def _binary_packets(result: ResultRows) -> AsyncIterator[bytes]:
    encoders = [encoder_for(column) for column in result.columns]
    for row_index, row in enumerate(result.rows):
        if row_index % ROWS_PER_WRITE == 0:
            await asyncio.sleep(0)
        yield binary_row(row, encoders)
