"""One client's connection to a backend server."""

import asyncio
import functools
import struct
from typing import TYPE_CHECKING, Any

from mysql_mimic import packets, types
from mysql_mimic.charset import CharacterSet
from mysql_mimic.connection import Connection
from mysql_mimic.errors import MysqlError
from mysql_mimic.results import ResultColumn
from mysql_mimic.stream import ConnectionClosed
from mysql_mimic.types import (
    Capabilities,
    ColumnDefinition,
    ColumnType,
    Commands,
    ServerStatus,
)

from jackdawcrank_standins.backend import literals
from jackdawcrank_standins.backend.answers import (
    Answer,
    OkAnswer,
    RowsAnswer,
)
from jackdawcrank_standins.backend.columns import ColumnKind
from jackdawcrank_standins.backend.errors import Failure, unknown_error
from jackdawcrank_standins.backend.parameters import read_parameters
from jackdawcrank_standins.backend.rows import binary_row
from jackdawcrank_standins.backend.session import Session

if TYPE_CHECKING:
    from jackdawcrank_standins.backend.server import BackendServer

ROW_BATCH = 5000
NO_ATTRIBUTES = b"\x00\x01"
LOGIN_SECONDS = 10.0
DEFINITIONS_CACHED = 4096
CLOSING_ERRORS = (
    ConnectionClosed,
    ConnectionError,
    asyncio.IncompleteReadError,
    MysqlError,
    struct.error,
)
COMMANDS = {
    Commands.COM_QUERY: "handle_query",
    Commands.COM_PING: "handle_ping",
    Commands.COM_INIT_DB: "handle_init_db",
    Commands.COM_RESET_CONNECTION: "handle_reset_connection",
    Commands.COM_CHANGE_USER: "handle_change_user",
    Commands.COM_STMT_PREPARE: "handle_stmt_prepare",
    Commands.COM_STMT_EXECUTE: "handle_stmt_execute",
    Commands.COM_STMT_SEND_LONG_DATA: "handle_stmt_send_long_data",
    Commands.COM_STMT_CLOSE: "handle_stmt_close",
    Commands.COM_STMT_RESET: "handle_stmt_reset",
    Commands.COM_STATISTICS: "handle_ping",
    Commands.COM_DEBUG: "handle_ping",
}
TEXT_COLUMN = ResultColumn("", ColumnType.VARCHAR)


@functools.lru_cache(DEFINITIONS_CACHED)
def column_definition(name: str, kind: ColumnKind) -> bytes:
    """Return the packet that describes a result column."""
    packet: bytes = packets.make_column_definition_41(
        server_charset=CharacterSet.utf8mb4,
        name=name,
        character_set=kind.character_set,
        column_length=kind.length,
        column_type=kind.type,
        flags=ColumnDefinition(kind.flags),
        decimals=kind.decimals,
    )
    return packet


class BackendConnection(Connection):
    """Speaks the MySQL protocol with one client.

    Attributes:
      server: The server that it belongs to.
      session: The session that runs its statements.
      silent: Whether nothing passes between the two ends any more.
      forgotten: Set once the server has given a silent connection up.
    """

    server_charset = CharacterSet.utf8mb4
    client_charset = CharacterSet.utf8mb4

    def __init__(
        self, server: "BackendServer", session: Session, **arguments: object
    ) -> None:
        super().__init__(session=session, **arguments)
        self.server = server
        self.session = session
        self.silent = False
        self.forgotten = asyncio.Event()
        self.connection_id = session.connection_id

    async def serve(self) -> None:
        """Serve the client until one side closes the connection."""
        try:
            await self.handshake()
            while True:
                data = await self.stream.read()
                await self.pass_network()
                if not data or data[0] == Commands.COM_QUIT:
                    return
                await self.command(data)
                self.stream.reset_seq()
        except CLOSING_ERRORS:
            return
        finally:
            if self.silent:
                await self.forgotten.wait()
            self.session.close()

    def silence(self) -> None:
        """Let nothing pass between the two ends any more.

        Neither end learns of it; this one gives the connection up after it
        was idle for long enough, and the socket stays open.
        """
        self.silent = True
        loop = asyncio.get_running_loop()
        loop.call_later(self.server.idle_seconds, self.forget)

    def forget(self) -> None:
        """Give a silent connection up."""
        self.forgotten.set()
        if not self.stream.writer.transport.is_closing():
            self.stream.writer.transport.pause_reading()
        self.stream.reader.feed_eof()

    async def handshake(self) -> None:
        """Let the client log in.

        Raises:
          ConnectionClosed: It did not give a valid name and password.
        """
        self.set_status()
        try:
            async with asyncio.timeout(LOGIN_SECONDS):
                await self.connection_phase()
        except Exception as error:
            # A client that does not speak the protocol is cut off.
            raise ConnectionClosed from error
        if self.session.username is None:
            raise ConnectionClosed

    async def authenticate(self, **arguments: Any) -> None:
        """Check a login, and that its database is here."""
        try:
            await self.session.use(self.session.database or "")
        except Failure as failure:
            await self.write_packets([self.error_packet(failure)])
        else:
            await super().authenticate(**arguments)

    async def pass_network(self) -> None:
        """Wait while the network or the process holds packets back."""
        if self.silent:
            await self.forgotten.wait()
            raise ConnectionClosed
        if self.server.network.blocked:
            await self.server.network.wait()
            await self.pass_network()

    async def command(self, data: bytes) -> None:
        """Run one command and answer it."""
        name = COMMANDS.get(data[0])
        try:
            if name is None:
                raise Failure(1047, "08S01", "Unknown command")
            await getattr(self, name)(data[1:])
        except Failure as failure:
            await self.write_packets([self.error_packet(failure)])
        except CLOSING_ERRORS:
            raise
        except Exception as error:  # noqa: BLE001
            self.server.note_broken(error)
            answer = unknown_error(f"{type(error).__name__}: {error}")
            await self.write_packets([self.error_packet(answer)])

    async def handle_query(self, data: bytes) -> None:
        """Run COM_QUERY."""
        sql = self.query_text(data)
        await self.write_answer(await self.session.run(sql), False)

    def query_text(self, data: bytes) -> str:
        """Return the statement of a COM_QUERY.

        Bytes that are no UTF-8, as in binary literals, become surrogates.
        """
        if Capabilities.CLIENT_QUERY_ATTRIBUTES in self.capabilities:
            if data[:2] != NO_ATTRIBUTES:
                return self.text_after_attributes(data)
            data = data[2:]
        return data.decode(errors="surrogateescape")

    def text_after_attributes(self, data: bytes) -> str:
        """Return the statement of a COM_QUERY with query attributes."""
        query = packets.parse_com_query(
            capabilities=self.capabilities,
            client_charset=self.client_charset,
            data=data,
        )
        return str(query.sql)

    async def handle_ping(self, data: bytes) -> None:
        """Run COM_PING."""
        await self.write_answer(OkAnswer(), False)

    async def handle_init_db(self, data: bytes) -> None:
        """Run COM_INIT_DB."""
        await self.session.use(data.decode())
        await self.write_answer(OkAnswer(), False)

    async def handle_reset_connection(self, data: bytes) -> None:
        """Run COM_RESET_CONNECTION."""
        self.session.reset()
        self.prepared_stmts.clear()
        await self.write_answer(OkAnswer(), False)

    async def handle_change_user(self, data: bytes) -> None:
        """Run COM_CHANGE_USER."""
        self.session.reset()
        self.session.username = None
        request = packets.parse_com_change_user(
            capabilities=self.capabilities,
            client_charset=self.client_charset,
            data=data,
        )
        self.session.database = request.database
        await self.authenticate(
            username=request.username,
            auth_response=request.auth_response,
            client_plugin_name=request.client_plugin,
            connect_attrs=request.connect_attrs,
        )
        if self.session.username is None:
            raise ConnectionClosed

    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Run COM_STMT_PREPARE."""
        sql = data.decode()
        statement = packets.PreparedStatement(
            stmt_id=next(self.prepared_stmt_seq) + 1,
            sql=sql,
            num_params=literals.placeholder_count(sql),
        )
        self.prepared_stmts[statement.stmt_id] = statement
        answer = [packets.make_com_stmt_prepare_ok(statement)]
        parameter = packets.make_column_definition_41(
            server_charset=self.server_charset, name="?"
        )
        answer.extend([parameter] * statement.num_params)
        if statement.num_params and not self.deprecate_eof():
            answer.append(self.eof())
        await self.write_packets(answer)

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Run COM_STMT_EXECUTE."""
        statement = self.prepared(data)
        values = read_parameters(
            data,
            statement.num_params,
            self.capabilities,
            statement.param_buffers or {},
        )
        statement.param_buffers = None
        parameters = tuple(literals.literal(value) for value in values)
        sql = literals.fill(statement.sql, parameters)
        await self.write_answer(await self.session.run(sql), True)

    async def handle_stmt_reset(self, data: bytes) -> None:
        """Run COM_STMT_RESET."""
        self.prepared(data).param_buffers = None
        await self.write_answer(OkAnswer(), False)

    def prepared(self, data: bytes) -> packets.PreparedStatement:
        """Return the prepared statement that a command names."""
        number = struct.unpack_from("<I", data)[0]
        if number not in self.prepared_stmts:
            raise Failure(
                1243,
                "HY000",
                f"Unknown prepared statement handler ({number})",
            )
        return self.prepared_stmts[number]

    def set_status(self) -> None:
        """Set the status flags from the session's state."""
        flags = 0
        if self.session.autocommit:
            flags |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self.session.transaction is not None:
            flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        self.status_flags = ServerStatus(flags)

    async def write_answer(self, answer: Answer, binary: bool) -> None:
        """Send the answer to a statement."""
        self.set_status()
        if isinstance(answer, OkAnswer):
            await self.write_packets([self.ok_packet(answer)])
        else:
            await self.write_rows(answer, binary)

    def ok_packet(self, answer: OkAnswer) -> bytes:
        """Return the OK packet with its info text."""
        packet: bytes = self.ok(
            affected_rows=answer.affected_rows,
            last_insert_id=answer.last_insert_id,
        )
        if answer.info:
            packet += types.str_len(answer.info.encode())
        return packet

    def error_packet(self, failure: Failure) -> bytes:
        """Return the error packet with its own SQLSTATE."""
        head = struct.pack("<BH", 0xFF, failure.code)
        if Capabilities.CLIENT_PROTOCOL_41 in self.capabilities:
            head += b"#" + failure.sqlstate.encode()
        return head + failure.message.encode()

    async def write_rows(self, answer: RowsAnswer, binary: bool) -> None:
        """Send a result set."""
        head = [packets.make_column_count(self.capabilities, len(answer.names))]
        head.extend(map(column_definition, answer.names, answer.kinds))
        if not self.deprecate_eof():
            head.append(self.eof())
        self.stream.write_many(head)
        await self.write_row_batches(answer, binary)
        await self.write_packets([self.ok_or_eof()])

    async def write_row_batches(self, answer: RowsAnswer, binary: bool) -> None:
        """Send rows, letting others run now and then."""
        columns = [TEXT_COLUMN] * len(answer.names)
        for start in range(0, len(answer.rows), ROW_BATCH):
            batch = answer.rows[start : start + ROW_BATCH]
            if binary:
                encoded = [binary_row(answer.kinds, row) for row in batch]
                self.stream.write_many(encoded)
            else:
                self.stream.write_text_rows(batch, columns)
            if start + ROW_BATCH < len(answer.rows):
                await self.write_packets([])

    async def write_packets(self, content: list[bytes]) -> None:
        """Send packets, and all that is buffered before them."""
        self.stream.write_many(content)
        await self.pass_network()
        await self.stream.drain()
