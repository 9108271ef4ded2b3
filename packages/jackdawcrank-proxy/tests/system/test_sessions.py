"""Tests of what callers' sessions are promised."""

import time
from typing import Any

import mysql.connector
import pymysql
import pytest

pytestmark = pytest.mark.asyncio(loop_scope="module")

CATCH_UP_SECONDS = 0.6


async def test_own_write_is_read_on_every_proxy(callers: Any) -> None:
    def script(callers: Any) -> Any:
        writer = callers.pymysql("vm1").cursor()
        writer.execute("CREATE TABLE cores (id INT, plot INT)")
        readers = [callers.pymysql(f"vm{n}").cursor() for n in (2, 3)]
        wrong = []
        for number in range(40):
            writer.execute(f"INSERT INTO cores VALUES ({number}, 1)")
            writer.execute("SELECT @@session_token")
            token = writer.fetchone()[0]
            for reader in readers:
                reader.execute(
                    "SELECT COUNT(*) FROM cores "
                    f"/*session='{token}',max_age_ms='60000'*/"
                )
                if reader.fetchone()[0] != number + 1:
                    wrong.append(number)
        return wrong

    assert await callers.run(script) == []


async def test_stated_age_is_served_by_replicas(callers: Any) -> None:
    def script(callers: Any) -> None:
        cursor = callers.pymysql("vm2").cursor()
        cursor.execute("CREATE TABLE totals (id INT)")
        time.sleep(CATCH_UP_SECONDS)
        for _ in range(10):
            cursor.execute("SELECT * FROM totals /*max_age_ms='3000'*/")

    replica, primary = callers.reads()
    await callers.run(script)
    assert callers.reads() == (replica + 10, primary)


async def test_plain_read_goes_to_the_primary(callers: Any) -> None:
    def script(callers: Any) -> None:
        callers.pymysql("vm1").cursor().execute("SELECT 1 + 1")

    replica, primary = callers.reads()
    await callers.run(script)
    assert callers.reads() == (replica, primary + 1)


@pytest.mark.parametrize(
    "comment",
    [
        "session='forged'",
        "max_age_ms='soon'",
        "request_id='%27 OR 1=1'",
        "deadline_ms=5",
    ],
)
async def test_bad_option_runs_nothing(callers: Any, comment: str) -> None:
    marker = f"mark_{abs(hash(comment))}"

    def script(callers: Any) -> Any:
        cursor = callers.pymysql().cursor()
        with pytest.raises(pymysql.MySQLError) as caught:
            cursor.execute(f"CREATE TABLE {marker} (id INT) /*{comment}*/")
        return caught.value.args

    code, message = await callers.run(script)
    assert (code, message.partition(":")[0]) == (1210, "not_run")
    assert callers.executed(marker) == 0


async def test_request_id_runs_once_on_any_proxy(callers: Any) -> None:
    def script(callers: Any) -> Any:
        cursor = callers.pymysql().cursor()
        cursor.execute(
            "CREATE TABLE releases (id BIGINT PRIMARY KEY AUTO_INCREMENT, n INT)"
        )
        results = []
        for vm in ("vm1", "vm2", "vm3"):
            again = callers.pymysql(vm).cursor()
            again.execute(
                "INSERT INTO releases (n) VALUES (5), (6) "
                "/*request_id='release-5',repeatable='no'*/"
            )
            results.append((again.rowcount, again.lastrowid))
        cursor.execute("SHOW REQUEST 'release-5'")
        shown = cursor.fetchone()
        cursor.execute("SHOW REQUEST 'release-6'")
        unknown = cursor.fetchone()
        cursor.execute("SELECT COUNT(*) FROM releases")
        return results, shown[1], unknown[1], cursor.fetchone()[0]

    results, shown, unknown, count = await callers.run(script)
    assert len(set(results)) == 1
    assert (shown, unknown, count) == ("done", "not_found", 2)


async def test_request_id_of_another_statement_is_refused(callers: Any) -> None:
    def script(callers: Any) -> Any:
        cursor = callers.pymysql().cursor()
        cursor.execute("CREATE TABLE ids (n INT)")
        cursor.execute("INSERT INTO ids VALUES (1) /*request_id='one'*/")
        with pytest.raises(pymysql.MySQLError) as caught:
            cursor.execute("INSERT INTO ids VALUES (2) /*request_id='one'*/")
        cursor.execute("SELECT n FROM ids")
        return caught.value.args[1], cursor.fetchall()

    message, rows = await callers.run(script)
    assert message.startswith("not_run: bad_option")
    assert rows == ((1,),)


async def test_request_id_covers_a_transaction(callers: Any) -> None:
    def script(callers: Any) -> Any:
        cursor = callers.pymysql().cursor()
        cursor.execute("CREATE TABLE repairs (n INT)")
        for vm in ("vm1", "vm2"):
            again = callers.pymysql(vm).cursor()
            again.execute("BEGIN")
            again.execute("INSERT INTO repairs VALUES (1)")
            again.execute("COMMIT /*request_id='repair-1'*/")
        cursor.execute("SELECT COUNT(*) FROM repairs")
        return cursor.fetchone()[0]

    assert await callers.run(script) == 1


async def test_defaults_of_a_connection(callers: Any) -> None:
    def script(callers: Any) -> None:
        cursor = callers.pymysql("vm3").cursor()
        time.sleep(CATCH_UP_SECONDS)
        cursor.execute("SET @max_age_ms = 5000")
        cursor.execute("SELECT 1")

    replica, _ = callers.reads()
    await callers.run(script)
    assert callers.reads()[0] == replica + 1


@pytest.mark.parametrize(
    ("sql", "code"),
    [
        ("SELECT 1; SELECT 2", 1235),
        ("SET GLOBAL read_only = 1", 1235),
        ("SET sql_mode = 'NO_BACKSLASH_ESCAPES'", 1235),
        ("LOCK TABLES t WRITE", 1235),
        ("USE nowhere", 1049),
    ],
)
async def test_unsupported_statements_are_refused(
    callers: Any, sql: str, code: int
) -> None:
    def script(callers: Any) -> Any:
        with pytest.raises(pymysql.MySQLError) as caught:
            callers.pymysql().cursor().execute(sql)
        return caught.value.args

    seen, message = await callers.run(script)
    assert seen == code
    assert message.startswith("not_run: ")


async def test_vanished_caller_frees_its_transaction(callers: Any) -> None:
    def script(callers: Any) -> Any:
        cursor = callers.pymysql().cursor()
        cursor.execute("CREATE TABLE held (n INT)")
        gone = callers.pymysql("vm2")
        gone.cursor().execute("BEGIN")
        gone.cursor().execute("INSERT INTO held VALUES (1)")
        gone._force_close()
        cursor.execute("INSERT INTO held VALUES (2)")
        cursor.execute("SELECT n FROM held")
        return cursor.fetchall()

    assert await callers.run(script) == ((2,),)


async def test_query_attributes_carry_options(callers: Any) -> None:
    def script(callers: Any) -> int:
        connection = callers.connector("vm2")
        cursor = connection.cursor()
        time.sleep(CATCH_UP_SECONDS)
        cursor.add_attribute("max_age_ms", "5000")
        cursor.execute("SELECT 1")
        cursor.fetchall()
        with pytest.raises(mysql.connector.Error) as caught:
            cursor.add_attribute("request_id", "not an id")
            cursor.execute("SELECT 1")
        return int(caught.value.errno)

    replica, _ = callers.reads()
    assert await callers.run(script) == 1210
    assert callers.reads()[0] == replica + 1
