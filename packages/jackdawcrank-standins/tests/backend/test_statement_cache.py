from typing import Any

import pytest

from jackdawcrank_standins.backend import BackendServer
from jackdawcrank_standins.backend.statement_cache import StatementCache


@pytest.fixture
async def cache(primary: BackendServer, connect: Any) -> StatementCache:
    client = connect(primary)
    await client.run("CREATE TABLE t (id INT PRIMARY KEY, v VARCHAR(9))")
    return primary.database.statements


def test_one_translation_serves_all_values(cache: StatementCache) -> None:
    first = cache.bind("SELECT v FROM t WHERE id = 1 LIMIT 5")
    second = cache.bind("SELECT v FROM t WHERE id = 2 LIMIT 9")
    assert first.compiled is second.compiled
    assert (first.values, second.values) == ((1, 5), (2, 9))
    assert first.compiled.sql == (
        "SELECT `v` FROM `t` WHERE `id` = ?1 LIMIT ?2",
    )


def test_literals_between_names_are_parameters(cache: StatementCache) -> None:
    bound = cache.bind("SELECT id AS a FROM t WHERE id > 3 AND v < 'x'")
    assert bound.values == (3, "x")


def test_comments_do_not_matter(cache: StatementCache) -> None:
    first = cache.bind("SELECT COUNT(*) AS n FROM t /*request_id='1'*/")
    second = cache.bind("SELECT COUNT(*) AS n FROM t /*request_id='2'*/")
    assert first.compiled is second.compiled


@pytest.mark.parametrize(
    "sql",
    [
        "SELECT v FROM t ORDER BY 1",
        "SELECT v, id FROM t ORDER BY id, 1",
        "SELECT COUNT(*) AS n FROM t GROUP BY 1",
        "SELECT id + 1 FROM t",
        "SELECT CAST(id AS DECIMAL(5, 2)) AS d FROM t",
    ],
)
def test_literals_that_are_no_values_stay(
    cache: StatementCache, sql: str
) -> None:
    bound = cache.bind(sql)
    assert bound.values == ()
    assert "?" not in bound.compiled.sql[0]


def test_a_schema_change_forgets_translations(cache: StatementCache) -> None:
    cache.bind("SELECT v FROM t WHERE id = 1")
    cache.clear()
    assert not cache.shapes
    assert not cache.texts


def test_the_oldest_translations_are_dropped(cache: StatementCache) -> None:
    cache.capacity = 3
    for place in range(9):
        cache.bind(f"SELECT v AS c{place} FROM t")
    assert len(cache.shapes) <= 3
    assert len(cache.texts) <= 3
