import datetime
from typing import Any

import pytest
from mysql_mimic.types import ColumnType

from jackdawcrank_standins.backend import BackendServer
from jackdawcrank_standins.backend.errors import Failure

TABLE = """
CREATE TABLE plots (
  id INT UNSIGNED NOT NULL AUTO_INCREMENT,
  name VARCHAR(20) NOT NULL,
  carbon DECIMAL(8, 2) DEFAULT 0,
  depth DOUBLE,
  kind ENUM('core', 'bulk') DEFAULT 'core',
  notes TEXT,
  raw BLOB,
  extra JSON,
  day DATE,
  made DATETIME DEFAULT CURRENT_TIMESTAMP,
  active TINYINT(1) NOT NULL DEFAULT 1,
  PRIMARY KEY (id),
  UNIQUE KEY name_key (name),
  KEY depth_key (depth)
) ENGINE=InnoDB DEFAULT CHARSET=utf8mb4
"""


@pytest.fixture
async def client(primary: BackendServer, connect: Any) -> Any:
    client = connect(primary)
    await client.run(TABLE)
    await client.run(
        "INSERT INTO plots (name, carbon, depth) VALUES"
        " ('Alm', 1.10, 0.5), ('Berg', 2.25, 30)"
    )
    return client


@pytest.mark.parametrize(
    ("sql", "expected"),
    [
        ("SELECT CONCAT('a', 1), CONCAT('a', NULL)", ("a1", None)),
        ("SELECT CONCAT_WS('-', 'a', NULL, 'b')", ("a-b",)),
        ("SELECT 7 DIV 2, 7 / 2, 7 % 2, 7 / 0", (3, 3.5, 1, None)),
        ("SELECT IF(1 > 2, 'x', 'y'), IFNULL(NULL, 3)", ("y", 3)),
        ("SELECT LEFT('hello', 2), LPAD('7', 3, '0')", ("he", "007")),
        ("SELECT GREATEST(1, 5), LEAST(1, NULL)", (5, None)),
        ("SELECT DATE_ADD('2024-01-31', INTERVAL 1 MONTH)", ("2024-02-29",)),
        (
            "SELECT '2024-01-01 10:00:00' - INTERVAL 90 MINUTE",
            ("2024-01-01 08:30:00",),
        ),
        ("SELECT DATEDIFF('2024-03-01', '2024-02-01')", (29,)),
        (
            "SELECT DATE_FORMAT('2024-05-06 07:08:09', '%Y/%m %H:%i')",
            ("2024/05 07:08",),
        ),
        ("SELECT 'ab' LIKE 'A%', 'abc' REGEXP '^a', 3 <=> NULL", (1, 1, 0)),
        (
            "SELECT SUBSTRING_INDEX('a.b.c', '.', 2), FIELD('b', 'a', 'b')",
            ("a.b", 2),
        ),
        ("SELECT DATABASE(), 1 FROM DUAL", ("depot", 1)),
        (
            "SELECT COUNT(*), SUM(carbon), AVG(id) FROM plots",
            (2, "3.35", "1.5000"),
        ),
        ("SELECT name FROM plots WHERE name = 'ALM'", ("Alm",)),
        ("SELECT name FROM plots ORDER BY 1 DESC LIMIT 1, 1", ("Alm",)),
        (
            "SELECT p.name, q.id FROM depot.plots p"
            " LEFT JOIN plots AS q ON q.id = p.id + 1 WHERE p.id = 2",
            ("Berg", None),
        ),
        (
            "SELECT active, COUNT(*) AS n FROM plots GROUP BY active"
            " HAVING n > 1",
            (1, 2),
        ),
        (
            "WITH c AS (SELECT 1 AS n UNION ALL SELECT 2) SELECT SUM(n) FROM c",
            (3,),
        ),
    ],
)
async def test_queries(
    client: Any, sql: str, expected: tuple[object, ...]
) -> None:
    assert await client.rows(sql) == [expected]


async def test_column_names_are_as_written(client: Any) -> None:
    answer = await client.run(
        "select count(*), max(id) AS top, plots.name, 1+1 from plots"
    )
    assert answer.names == ("count(*)", "top", "name", "1+1")


async def test_column_types(client: Any) -> None:
    answer = await client.run("SELECT *, COUNT(*) AS n FROM plots")
    assert [kind.type for kind in answer.kinds] == [
        ColumnType.LONGLONG,
        ColumnType.VAR_STRING,
        ColumnType.NEWDECIMAL,
        ColumnType.DOUBLE,
        ColumnType.STRING,
        ColumnType.BLOB,
        ColumnType.BLOB,
        ColumnType.JSON,
        ColumnType.DATE,
        ColumnType.DATETIME,
        ColumnType.TINY,
        ColumnType.LONGLONG,
    ]


async def test_auto_increment(client: Any) -> None:
    single = await client.run("INSERT INTO plots (name) VALUES ('c')")
    assert (single.affected_rows, single.last_insert_id) == (1, 3)
    several = await client.run(
        "INSERT INTO plots (id, name) VALUES (NULL, 'd'), (NULL, 'e')"
    )
    assert (several.affected_rows, several.last_insert_id) == (2, 4)
    assert await client.value("SELECT LAST_INSERT_ID()") == 4
    explicit = await client.run("INSERT INTO plots (id, name) VALUES (50, 'f')")
    assert explicit.last_insert_id == 50
    assert await client.value("SELECT LAST_INSERT_ID()") == 4


async def test_on_duplicate_key_update(client: Any) -> None:
    sql = (
        "INSERT INTO plots (name, depth) VALUES ('{}', 5)"
        " ON DUPLICATE KEY UPDATE depth = depth + VALUES(depth) * 10"
    )
    updated = await client.run(sql.format("Alm"))
    inserted = await client.run(sql.format("New"))
    assert (updated.affected_rows, inserted.affected_rows) == (2, 1)
    rows = await client.rows(
        "SELECT depth FROM plots WHERE name IN ('Alm', 'New') ORDER BY id"
    )
    assert rows == [(50.5,), (5.0,)]
    await client.run(
        "INSERT INTO plots (name, depth) VALUES ('Alm', 7) AS new"
        " ON DUPLICATE KEY UPDATE depth = new.depth"
    )
    assert (
        await client.value("SELECT depth FROM plots WHERE name = 'Alm'") == 7.0
    )


async def test_insert_ignore_and_replace(client: Any) -> None:
    ignored = await client.run("INSERT IGNORE INTO plots (name) VALUES ('Alm')")
    assert (ignored.affected_rows, ignored.info) == (0, "")
    await client.run("REPLACE INTO plots (id, name) VALUES (1, 'Other')")
    assert await client.value("SELECT name FROM plots WHERE id = 1") == "Other"


async def test_update_with_order_and_limit(client: Any) -> None:
    answer = await client.run(
        "UPDATE plots SET depth = 99 ORDER BY id DESC LIMIT 1"
    )
    assert answer.affected_rows == 1
    assert await client.value("SELECT depth FROM plots WHERE id = 2") == 99.0


async def test_a_quoted_unknown_name_is_no_text(client: Any) -> None:
    with pytest.raises(Failure, match="Unknown column"):
        await client.run("SELECT `nowhere` FROM plots")


async def test_update_with_join(client: Any) -> None:
    await client.run(
        "UPDATE plots p JOIN plots q ON p.id = q.id + 1"
        " SET p.depth = q.depth WHERE q.name = 'Alm'"
    )
    assert await client.value("SELECT depth FROM plots WHERE id = 2") == 0.5


async def test_schema_changes(client: Any) -> None:
    for sql in (
        "ALTER TABLE plots ADD COLUMN z BIGINT DEFAULT 4, ADD INDEX zi (z)",
        "ALTER TABLE plots DROP INDEX zi",
        "CREATE UNIQUE INDEX ui ON plots (z, id)",
        "DROP INDEX ui ON plots",
        "ALTER TABLE plots RENAME COLUMN z TO y",
        "RENAME TABLE plots TO fields",
    ):
        await client.run(sql)
    assert await client.rows("SELECT y FROM fields LIMIT 1") == [(4,)]
    await client.run("TRUNCATE TABLE fields")
    answer = await client.run("INSERT INTO fields (name) VALUES ('x')")
    assert answer.last_insert_id == 1
    await client.run("DROP TABLE IF EXISTS fields, nothing")
    assert await client.rows("SHOW TABLES") == []


async def test_time_functions_agree_with_the_clock(client: Any) -> None:
    now = await client.value("SELECT NOW()")
    moment = datetime.datetime.fromisoformat(str(now))
    utc = datetime.datetime.now(datetime.UTC).replace(tzinfo=None)
    assert abs((utc - moment).total_seconds()) < 3600
    assert await client.value("SELECT made FROM plots LIMIT 1") <= now


@pytest.mark.parametrize(
    ("sql", "code", "sqlstate"),
    [
        ("INSERT INTO plots (name) VALUES ('Alm')", 1062, "23000"),
        ("INSERT INTO plots (name) VALUES (NULL)", 1048, "23000"),
        ("INSERT INTO plots VALUES (1)", 1136, "21S01"),
        ("SELECT * FROM nothing", 1146, "42S02"),
        ("SELECT nothing FROM plots", 1054, "42S22"),
        ("SELECT id FROM other.plots", 1049, "42000"),
        ("SELECT no_such(1)", 1305, "42000"),
        ("SELEC 1", 1064, "42000"),
        ("SELECT 'open", 1064, "42000"),
        ("CREATE TABLE plots (a INT)", 1050, "42S01"),
        ("CALL something()", 1235, "42000"),
        ("SELECT @@nothing", 1193, "HY000"),
        ("  ", 1065, "42000"),
    ],
)
async def test_errors(client: Any, sql: str, code: int, sqlstate: str) -> None:
    with pytest.raises(Failure) as caught:
        await client.run(sql)
    assert (caught.value.code, caught.value.sqlstate) == (code, sqlstate)
