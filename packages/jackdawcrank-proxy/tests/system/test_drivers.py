"""Tests with two stock drivers of what passes through unchanged."""

import datetime
import decimal
from typing import Any

import mysql.connector
import pymysql
import pytest

pytestmark = pytest.mark.asyncio(loop_scope="module")

TYPES_TABLE = """CREATE TABLE {name} (
  id BIGINT PRIMARY KEY AUTO_INCREMENT, small INT, amount DECIMAL(10,2),
  ratio DOUBLE, label VARCHAR(40), day DATE, at DATETIME, raw BLOB)"""
TYPES_ROW = (
    7,
    decimal.Decimal("12.50"),
    0.25,
    "Größe '\\ %s",
    datetime.date(2026, 3, 1),
    datetime.datetime(2026, 3, 1, 4, 5, 6),
    b"\x00\xff'\\",
)
INSERT_TYPES = (
    "INSERT INTO {name} (small, amount, ratio, label, day, at, raw) "
    "VALUES (%s, %s, %s, %s, %s, %s, %s)"
)


@pytest.mark.parametrize("driver", ["pymysql", "connector"])
async def test_types_nulls_and_counts(callers: Any, driver: str) -> None:
    def script(callers: Any) -> Any:
        name = f"types_{driver}"
        connection = getattr(callers, driver)()
        cursor = connection.cursor()
        cursor.execute(TYPES_TABLE.format(name=name))
        cursor.execute(INSERT_TYPES.format(name=name), TYPES_ROW)
        first = (cursor.rowcount, cursor.lastrowid)
        cursor.execute(INSERT_TYPES.format(name=name), (None,) * 7)
        second = (cursor.rowcount, cursor.lastrowid)
        cursor.execute(f"SELECT * FROM {name} ORDER BY id")
        return first, second, cursor.fetchall()

    first, second, rows = await callers.run(script)
    assert (first, second) == ((1, 1), (1, 2))
    assert tuple(rows[0])[1:] == TYPES_ROW
    assert tuple(rows[1])[1:] == (None,) * 7


async def test_prepared_statements(callers: Any) -> None:
    def script(callers: Any) -> Any:
        connection = callers.connector()
        connection.cursor().execute(TYPES_TABLE.format(name="prepared"))
        cursor = connection.cursor(prepared=True)
        cursor.execute(INSERT_TYPES.format(name="prepared"), TYPES_ROW)
        cursor.execute("SELECT * FROM prepared WHERE small = %s", (7,))
        return cursor.fetchall()

    (row,) = await callers.run(script)
    assert tuple(row)[1:5] == TYPES_ROW[:4]
    assert tuple(row)[5:7] == TYPES_ROW[4:6]


@pytest.mark.parametrize(
    ("sql", "code"),
    [
        ("SELECT * FROM no_such_table", 1146),
        ("INSERT INTO keyed VALUES (1)", 1062),
        ("SELEC 1", 1064),
    ],
)
async def test_errors_keep_their_codes(
    callers: Any, sql: str, code: int
) -> None:
    def script(callers: Any) -> Any:
        cursor = callers.pymysql().cursor()
        cursor.execute("CREATE TABLE IF NOT EXISTS keyed (id INT PRIMARY KEY)")
        cursor.execute(
            "INSERT INTO keyed VALUES (1) ON DUPLICATE KEY UPDATE id = 1"
        )
        with pytest.raises(pymysql.MySQLError) as caught:
            cursor.execute(sql)
        return caught.value.args

    seen, message = await callers.run(script)
    assert seen == code
    assert message.startswith("failed: ")


async def test_large_result_is_whole(callers: Any) -> None:
    count = 100_000

    def script(callers: Any) -> Any:
        connection = callers.pymysql()
        cursor = connection.cursor()
        cursor.execute("CREATE TABLE numbers (n BIGINT, label VARCHAR(20))")
        cursor.execute("CREATE TABLE digits (d BIGINT)")
        values = ",".join(f"({digit})" for digit in range(10))
        cursor.execute(f"INSERT INTO digits VALUES {values}")
        cursor.execute(
            "INSERT INTO numbers SELECT n, CONCAT('row ', n) FROM (SELECT "
            "a.d + b.d*10 + c.d*100 + e.d*1000 + f.d*10000 AS n FROM digits a, "
            "digits b, digits c, digits e, digits f) AS combined"
        )
        other = callers.pymysql("vm2").cursor()
        other.execute("SELECT n, label FROM numbers ORDER BY n")
        return other.fetchall()

    rows = await callers.run(script)
    assert len(rows) == count
    assert all(row == (n, f"row {n}") for n, row in enumerate(rows))


async def test_transactions_and_autocommit(callers: Any) -> None:
    def script(callers: Any) -> Any:
        writer = callers.pymysql(autocommit=False)
        reader = callers.pymysql("vm2").cursor()
        cursor = writer.cursor()
        cursor.execute("CREATE TABLE moves (id INT)")
        seen = []
        cursor.execute("INSERT INTO moves VALUES (1)")
        reader.execute("SELECT COUNT(*) FROM moves")
        seen.append(reader.fetchone()[0])
        cursor.execute("SELECT COUNT(*) FROM moves")
        seen.append(cursor.fetchone()[0])
        writer.rollback()
        cursor.execute("INSERT INTO moves VALUES (2)")
        writer.commit()
        reader.execute("SELECT id FROM moves")
        seen.append(reader.fetchall())
        return seen

    assert await callers.run(script) == [0, 1, ((2,),)]


async def test_begin_and_savepoint(callers: Any) -> None:
    def script(callers: Any) -> Any:
        connection = callers.connector()
        cursor = connection.cursor()
        for sql in (
            "CREATE TABLE steps (id INT)",
            "BEGIN",
            "INSERT INTO steps VALUES (1)",
            "SAVEPOINT a",
            "INSERT INTO steps VALUES (2)",
            "ROLLBACK TO SAVEPOINT a",
            "COMMIT",
        ):
            cursor.execute(sql)
        cursor.execute("SELECT id FROM steps")
        return cursor.fetchall()

    assert await callers.run(script) == [(1,)]


async def test_wrong_password_is_refused(callers: Any) -> None:
    def script(callers: Any) -> Any:
        with pytest.raises(pymysql.MySQLError) as caught:
            callers.pymysql(password="wrong")
        with pytest.raises(mysql.connector.Error):
            callers.connector(user="nobody")
        return caught.value.args[0]

    assert await callers.run(script) == 1045
