import asyncio
import datetime
import decimal
import struct
from collections.abc import Callable
from typing import Any

import mysql.connector
import pymysql
import pytest

from jackdawcrank_standins.backend import BackendGroup, BackendServer, Role

TABLE = (
    "CREATE TABLE samples (id BIGINT AUTO_INCREMENT PRIMARY KEY,"
    " name VARCHAR(30) UNIQUE, carbon DECIMAL(10, 2), depth DOUBLE,"
    " day DATE, taken DATETIME, raw BLOB, small TINYINT)"
)
INSERT = (
    "INSERT INTO samples (name, carbon, depth, day, taken, raw, small)"
    " VALUES (%s, %s, %s, %s, %s, %s, %s)"
)
ROW = (
    'Müller\'s \\ "field" ?',
    decimal.Decimal("12.50"),
    0.25,
    datetime.date(2024, 2, 29),
    datetime.datetime(2024, 2, 29, 12, 30, 15),
    b"\x00\xff'\\",
    -5,
)
EMPTY_ROW = ("empty", None, None, None, None, None, None)
COLUMNS = "name, carbon, depth, day, taken, raw, small"
Opener = Callable[..., Any]


def open_pymysql(server: BackendServer, **options: Any) -> Any:
    return pymysql.connect(
        host=server.host,
        port=server.port,
        user="proxy",
        password=options.pop("password", "proxy"),
        database=options.pop("database", "depot"),
        connect_timeout=5,
        **options,
    )


def open_connector(server: BackendServer, **options: Any) -> Any:
    return mysql.connector.connect(
        host=server.host,
        port=server.port,
        user="proxy",
        password=options.pop("password", "proxy"),
        database=options.pop("database", "depot"),
        connection_timeout=5,
        use_pure=True,
        **options,
    )


OPENERS = pytest.mark.parametrize("opener", [open_pymysql, open_connector])


@OPENERS
async def test_values_pass_unchanged(
    primary: BackendServer, opener: Opener
) -> None:
    def work() -> None:
        connection = opener(primary)
        cursor = connection.cursor()
        cursor.execute(TABLE)
        cursor.execute(INSERT, ROW)
        assert (cursor.rowcount, cursor.lastrowid) == (1, 1)
        cursor.execute(INSERT, EMPTY_ROW)
        cursor.execute(f"SELECT {COLUMNS} FROM samples ORDER BY id")
        assert list(cursor.fetchall()) == [ROW, EMPTY_ROW]
        assert [item[0] for item in cursor.description] == COLUMNS.split(", ")
        connection.commit()
        connection.close()

    await asyncio.to_thread(work)
    assert str(primary.replication.log.end) == "1:2"


@OPENERS
async def test_transactions(primary: BackendServer, opener: Opener) -> None:
    def work() -> None:
        first, second = opener(primary), opener(primary, autocommit=True)
        cursor, other = first.cursor(), second.cursor()
        cursor.execute(TABLE)
        cursor.execute("INSERT INTO samples (name) VALUES ('a')")
        other.execute("SELECT COUNT(*) FROM samples")
        assert other.fetchall()[0] == (0,)
        first.rollback()
        cursor.execute("INSERT INTO samples (name) VALUES ('b')")
        first.commit()
        other.execute("SELECT name FROM samples")
        assert list(other.fetchall()) == [("b",)]
        first.close()
        second.close()

    await asyncio.to_thread(work)


@OPENERS
async def test_error_codes(primary: BackendServer, opener: Opener) -> None:
    def work() -> None:
        connection = opener(primary)
        cursor = connection.cursor()
        cursor.execute(TABLE)
        cursor.execute("INSERT INTO samples (name) VALUES ('a')")
        with pytest.raises(Exception, match="Duplicate entry") as caught:
            cursor.execute("INSERT INTO samples (name) VALUES ('a')")
        assert isinstance(
            caught.value,
            (pymysql.IntegrityError, mysql.connector.IntegrityError),
        )
        assert caught.value.args[0] == 1062
        with pytest.raises(Exception, match="doesn't exist") as caught:
            cursor.execute("SELECT * FROM missing")
        assert caught.value.args[0] == 1146
        connection.close()

    await asyncio.to_thread(work)


@OPENERS
@pytest.mark.parametrize(
    "options", [{"password": "wrong"}, {"database": "other"}]
)
async def test_a_wrong_login_is_refused(
    primary: BackendServer, opener: Opener, options: dict[str, str]
) -> None:
    def work() -> None:
        with pytest.raises(
            (pymysql.err.MySQLError, mysql.connector.Error)
        ) as caught:
            opener(primary, **options)
        assert caught.value.args[0] in (1045, 1049)

    await asyncio.to_thread(work)
    assert not primary.executed


async def test_prepared_statements(primary: BackendServer) -> None:
    def work() -> None:
        connection = open_connector(primary)
        cursor = connection.cursor()
        cursor.execute(TABLE)
        cursor = connection.cursor(prepared=True)
        cursor.execute(INSERT, ROW)
        cursor.execute(INSERT, EMPTY_ROW)
        assert (cursor.rowcount, cursor.lastrowid) == (1, 2)
        cursor.execute(
            f"SELECT {COLUMNS} FROM samples WHERE id = ? AND name <> '?'", (1,)
        )
        assert cursor.fetchall() == [ROW]
        cursor.execute(
            f"SELECT {COLUMNS} FROM samples WHERE id = ? AND name <> '?'", (2,)
        )
        assert cursor.fetchall() == [EMPTY_ROW]
        connection.close()

    await asyncio.to_thread(work)


async def test_large_results(primary: BackendServer) -> None:
    def work() -> None:
        connection = open_pymysql(primary, autocommit=True)
        cursor = connection.cursor()
        cursor.execute("CREATE TABLE n (a INT PRIMARY KEY)")
        cursor.execute("INSERT INTO n VALUES (0), (1)")
        for _ in range(15):
            cursor.execute(
                "INSERT INTO n SELECT a + (SELECT COUNT(*) FROM n) FROM n"
            )
        cursor.execute("SELECT a FROM n ORDER BY a")
        assert [row[0] for row in cursor.fetchall()] == list(range(65536))
        connection.close()

    await asyncio.to_thread(work)


async def test_reset_rolls_back(primary: BackendServer) -> None:
    def work() -> None:
        connection = open_connector(primary)
        cursor = connection.cursor()
        cursor.execute(TABLE)
        cursor.execute("INSERT INTO samples (name) VALUES ('a')")
        assert connection.in_transaction
        connection.cmd_reset_connection()
        assert not connection.in_transaction
        cursor.execute("SELECT COUNT(*) FROM samples")
        assert cursor.fetchall() == [(0,)]
        connection.ping()
        connection.close()

    await asyncio.to_thread(work)


async def test_a_vanished_client_is_rolled_back(
    primary: BackendServer,
) -> None:
    def work() -> None:
        vanished, other = open_pymysql(primary), open_pymysql(primary)
        cursor = vanished.cursor()
        cursor.execute(TABLE)
        cursor.execute("INSERT INTO samples (name) VALUES ('a')")
        vanished._force_close()
        cursor = other.cursor()
        cursor.execute("INSERT INTO samples (name) VALUES ('a')")
        other.commit()
        other.close()

    await asyncio.to_thread(work)
    assert str(primary.replication.log.end) == "1:2"


async def test_the_connection_limit(primary: BackendServer) -> None:
    primary.connection_limit = 2

    def work() -> None:
        kept = [open_pymysql(primary), open_connector(primary)]
        for opener in (open_pymysql, open_connector):
            with pytest.raises(Exception, match="Too many") as caught:
                opener(primary)
            assert caught.value.args[0] == 1040
        for connection in kept:
            connection.close()

    await asyncio.to_thread(work)


@pytest.mark.serial
async def test_silent_connections(
    primary: BackendServer, group: BackendGroup
) -> None:
    primary.idle_seconds = 0.02

    def write() -> Any:
        connection = open_pymysql(primary, read_timeout=0.05)
        cursor = connection.cursor()
        cursor.execute(TABLE)
        cursor.execute("INSERT INTO samples (name) VALUES ('lost')")
        return connection

    def stay_silent(connection: Any) -> None:
        with pytest.raises(pymysql.OperationalError) as caught:
            connection.cursor().execute("COMMIT")
        assert caught.value.args[0] == 2013

    def use_a_new_one() -> None:
        connection = open_pymysql(primary)
        cursor = connection.cursor()
        cursor.execute("INSERT INTO samples (name) VALUES ('kept')")
        connection.commit()
        cursor.execute("SELECT name FROM samples")
        assert cursor.fetchall() == (("kept",),)
        connection.close()

    connection = await asyncio.to_thread(write)
    primary.silence()
    await asyncio.to_thread(stay_silent, connection)
    await asyncio.to_thread(use_a_new_one)


async def test_a_crash_does_not_wait_for_silent_connections(
    primary: BackendServer,
) -> None:
    connection = await asyncio.to_thread(open_pymysql, primary)
    primary.silence()
    async with asyncio.timeout(primary.idle_seconds / 2):
        await primary.stop()
    assert not primary.connections
    connection._force_close()


async def test_a_partition_holds_packets_back(
    primary: BackendServer, group: BackendGroup
) -> None:
    def prepare() -> Any:
        connection = open_pymysql(primary, autocommit=True)
        connection.cursor().execute(TABLE)
        return connection

    def insert(connection: Any) -> None:
        connection.cursor().execute(
            "INSERT INTO samples (name) VALUES ('late')"
        )

    connection = await asyncio.to_thread(prepare)
    group.partition("a")
    waiting = asyncio.create_task(asyncio.to_thread(insert, connection))
    await asyncio.sleep(0.02)
    assert not waiting.done()
    assert str(primary.replication.log.end) == "1:1"
    group.heal("a")
    await waiting
    assert str(primary.replication.log.end) == "1:2"


async def test_a_paused_server_goes_on_where_it_was(
    primary: BackendServer,
) -> None:
    def work() -> None:
        connection = open_pymysql(primary, autocommit=True)
        connection.cursor().execute(TABLE)
        connection.close()

    primary.pause()
    waiting = asyncio.create_task(asyncio.to_thread(work))
    await asyncio.sleep(0.02)
    assert not waiting.done()
    assert primary.replication.role is Role.PRIMARY
    primary.resume()
    await waiting
    assert str(primary.replication.log.end) == "1:1"


async def test_a_crash_keeps_what_is_committed(
    primary: BackendServer, group: BackendGroup
) -> None:
    def write() -> Any:
        connection = open_pymysql(primary)
        cursor = connection.cursor()
        cursor.execute(TABLE)
        cursor.execute("INSERT INTO samples (name) VALUES ('kept')")
        connection.commit()
        cursor.execute("INSERT INTO samples (name) VALUES ('open')")
        return connection

    def see_the_cut(connection: Any) -> None:
        with pytest.raises(pymysql.OperationalError):
            connection.commit()
        with pytest.raises(pymysql.OperationalError):
            open_pymysql(primary)

    def look_again() -> None:
        connection = open_pymysql(primary)
        cursor = connection.cursor()
        cursor.execute("SELECT name FROM samples")
        assert cursor.fetchall() == (("kept",),)
        connection.close()

    connection = await asyncio.to_thread(write)
    await primary.stop()
    await asyncio.to_thread(see_the_cut, connection)
    await primary.restart()
    assert primary.replication.role is Role.PRIMARY
    await asyncio.to_thread(look_again)


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x00" * 64,
        b"\xff" * 64,
        struct.pack("<I", 5 | 1 << 24) + b"abcde",
    ],
)
async def test_garbage_closes_the_connection(
    primary: BackendServer, data: bytes
) -> None:
    reader, writer = await asyncio.open_connection(primary.host, primary.port)
    writer.write(data)
    writer.write_eof()
    async with asyncio.timeout(5):
        greeting = await reader.read()
    assert b"mysql_native_password" in greeting
    writer.close()
    await asyncio.sleep(0)
    assert not primary.broken
