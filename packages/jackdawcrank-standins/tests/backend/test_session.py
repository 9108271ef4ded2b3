import asyncio
from typing import Any

import pytest

from jackdawcrank_standins.backend import BackendServer, Fate
from jackdawcrank_standins.backend.errors import Failure


@pytest.fixture
async def client(primary: BackendServer, connect: Any) -> Any:
    client = connect(primary)
    await client.run(
        "CREATE TABLE t (id INT AUTO_INCREMENT PRIMARY KEY, v INT)"
    )
    await client.run("INSERT INTO t (v) VALUES (1)")
    return client


async def test_others_see_committed_rows_only(
    client: Any, primary: BackendServer, connect: Any
) -> None:
    other = connect(primary)
    await client.run("BEGIN")
    await client.run("UPDATE t SET v = 2")
    assert await client.value("SELECT v FROM t") == 2
    assert await other.value("SELECT v FROM t") == 1
    answer = await client.run("COMMIT")
    assert answer.info == "position=1:3"
    assert await other.value("SELECT v FROM t") == 2


async def test_rollback_undoes_rows_and_numbers(client: Any) -> None:
    await client.run("START TRANSACTION")
    await client.run("INSERT INTO t (v) VALUES (7)")
    await client.run("ROLLBACK")
    assert await client.value("SELECT COUNT(*) FROM t") == 1
    answer = await client.run("INSERT INTO t (v) VALUES (8)")
    assert (answer.last_insert_id, answer.info) == (2, "position=1:3")


async def test_savepoints(client: Any) -> None:
    await client.run("BEGIN")
    await client.run("INSERT INTO t (v) VALUES (2)")
    await client.run("SAVEPOINT one")
    await client.run("INSERT INTO t (v) VALUES (3)")
    await client.run("ROLLBACK TO SAVEPOINT one")
    await client.run("INSERT INTO t (v) VALUES (4)")
    await client.run("COMMIT")
    assert await client.rows("SELECT v FROM t ORDER BY id") == [
        (1,),
        (2,),
        (4,),
    ]
    with pytest.raises(Failure, match="does not exist"):
        await client.run("ROLLBACK TO one")


async def test_autocommit_off_opens_transactions(
    client: Any, primary: BackendServer, connect: Any
) -> None:
    await client.run("SET autocommit = 0")
    await client.run("INSERT INTO t (v) VALUES (5)")
    assert await connect(primary).value("SELECT COUNT(*) FROM t") == 1
    await client.run("SET autocommit = 1")
    assert await connect(primary).value("SELECT COUNT(*) FROM t") == 2


async def test_a_schema_change_commits(client: Any) -> None:
    await client.run("SET autocommit = 0")
    await client.run("INSERT INTO t (v) VALUES (5)")
    answer = await client.run("CREATE TABLE u (a INT)")
    assert answer.info == "position=1:4"
    await client.run("ROLLBACK")
    assert await client.value("SELECT COUNT(*) FROM t") == 2
    assert await client.value("SELECT COUNT(*) FROM u") == 0


async def test_a_failed_statement_leaves_its_transaction_open(
    client: Any,
) -> None:
    await client.run("BEGIN")
    await client.run("INSERT INTO t (v) VALUES (2)")
    with pytest.raises(Failure):
        await client.run("INSERT INTO t (id, v) VALUES (9, 9), (1, 1)")
    await client.run("COMMIT")
    assert await client.rows("SELECT id FROM t ORDER BY id") == [(1,), (2,)]


async def test_a_write_without_effect_has_no_position(
    client: Any, primary: BackendServer
) -> None:
    before = primary.replication.log.end
    answer = await client.run("UPDATE t SET v = 3 WHERE id = 99")
    assert (answer.affected_rows, answer.info) == (0, "")
    assert primary.replication.log.end == before


async def test_a_second_writer_waits(
    client: Any, primary: BackendServer, connect: Any
) -> None:
    other = connect(primary)
    await client.run("BEGIN")
    await client.run("UPDATE t SET v = v + 1")
    waiting = asyncio.create_task(other.run("UPDATE t SET v = v * 10"))
    await asyncio.sleep(0)
    assert not waiting.done()
    await client.run("COMMIT")
    await waiting
    assert await client.value("SELECT v FROM t") == 20


async def test_a_lock_wait_ends_with_an_error(
    client: Any, primary: BackendServer, connect: Any
) -> None:
    other = connect(primary)
    await client.run("BEGIN")
    await client.run("SELECT * FROM t FOR UPDATE")
    await other.run("SET innodb_lock_wait_timeout = 0")
    await other.run("BEGIN")
    with pytest.raises(Failure) as caught:
        await other.run("UPDATE t SET v = 5")
    assert caught.value.code == 1205
    assert other.session.transaction is None
    await client.run("COMMIT")
    await other.run("UPDATE t SET v = 6")
    assert await client.value("SELECT v FROM t") == 6


async def test_a_statement_runs_out_of_time(
    client: Any, primary: BackendServer
) -> None:
    await client.run("SET max_execution_time = 1")
    primary.slow_seconds = 60
    with pytest.raises(Failure) as caught:
        await client.run("UPDATE t SET v = 5")
    assert caught.value.code == 3024
    primary.slow_seconds = 0
    assert await client.value("SELECT v FROM t") == 1
    assert primary.running == 0


async def test_slots_limit_what_runs(
    client: Any, primary: BackendServer, connect: Any
) -> None:
    primary.statement_seconds = 0.001
    clients = [connect(primary) for _ in range(10)]
    peak = 0

    async def watch() -> None:
        nonlocal peak
        while True:
            peak = max(peak, primary.running)
            await asyncio.sleep(0)

    watcher = asyncio.create_task(watch())
    await asyncio.gather(*(c.run("SELECT v FROM t") for c in clients))
    watcher.cancel()
    assert peak == primary.slots


async def test_user_variables(client: Any) -> None:
    await client.run("SET @a = 5, @b = 'it''s, so'")
    assert await client.rows("SELECT @a + 1, @b, @none") == [
        (6, "it's, so", None)
    ]


async def test_reset_forgets_the_session(client: Any) -> None:
    await client.run("SET @a = 5, autocommit = 0")
    await client.run("UPDATE t SET v = 9")
    client.session.reset()
    assert await client.rows("SELECT @a, @@autocommit, v FROM t") == [
        (None, 1, 1)
    ]


async def test_statements_are_recorded(
    client: Any, primary: BackendServer
) -> None:
    await client.run("BEGIN")
    await client.run("UPDATE t SET v = 2")
    assert primary.executed[-1].fate is Fate.OPEN
    await client.run("ROLLBACK")
    assert primary.executed[-1].fate is Fate.ROLLED_BACK
    await client.run("UPDATE t SET v = 3")
    record = primary.executed[-1]
    assert (record.fate, str(record.position)) == (Fate.COMMITTED, "1:3")
    assert (record.sql, record.writes) == ("UPDATE t SET v = 3", True)


@pytest.mark.parametrize(
    ("sql", "expected"),
    [
        ("SHOW TABLES", ("t",)),
        ("SHOW TABLES LIKE 't%'", ("t",)),
        ("SHOW DATABASES", ("depot",)),
        ("SHOW VARIABLES LIKE 'group_role'", ("group_role", "primary")),
        ("SHOW STATUS LIKE 'log_div%'", ("Log_divergent", "0")),
        (
            "SHOW COLUMNS FROM t",
            ("id", "bigint", "NO", "PRI", None, "auto_increment"),
        ),
        ("SELECT @@group_term, @@GROUP_ROLE", (1, "primary")),
        ("SELECT concat_ws('/', @@group_term, @@GROUP_ROLE)", ("1/primary",)),
        ("SELECT CONCAT_WS('-', @@group_term, 7)", ("1-7",)),
        ("SELECT @@session.autocommit AS a LIMIT 1", (1,)),
    ],
)
async def test_what_drivers_ask(
    client: Any, sql: str, expected: tuple[object, ...]
) -> None:
    assert (await client.rows(sql))[0] == expected
