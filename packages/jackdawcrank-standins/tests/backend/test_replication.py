import asyncio
import random
from typing import Any

import pytest

from jackdawcrank_standins.backend import BackendGroup, BackendServer, Role
from jackdawcrank_standins.backend.errors import Failure

FOREVER_SECONDS = 1e6
MAX_TURNS = 10_000


async def settled(group: BackendGroup, *names: str) -> None:
    """Wait until servers hold what the primary of the newest term has."""
    for _ in range(MAX_TURNS):
        if all(group.servers[name].replication.caught_up() for name in names):
            return
        await asyncio.sleep(0)
    pytest.fail(f"{names} did not catch up")


def data(server: BackendServer) -> list[str]:
    return list(server.database.committed.iterdump())


async def promote(group: BackendGroup, term: int, name: str) -> None:
    for server in group.servers.values():
        server.fence(term)
    offset = group.servers[name].replication.log.end.offset
    for server in group.servers.values():
        server.announce(f"{term}:{offset}:{name}")


@pytest.fixture
async def client(primary: BackendServer, connect: Any) -> Any:
    client = connect(primary)
    await client.run(
        "CREATE TABLE t (id INT AUTO_INCREMENT PRIMARY KEY, v INT)"
    )
    return client


async def test_state_row(
    group: BackendGroup, client: Any, connect: Any
) -> None:
    variables = "@@group_term, @@group_role, @@log_position, @@group_caught_up"
    report = f"SELECT CONCAT_WS(' ', {variables}) AS report"
    state = f"SELECT {variables}"
    assert await client.rows(state) == [(1, "primary", "1:1", 1)]
    assert await client.rows(report) == [("1 primary 1:1 1",)]
    await settled(group, "b")
    replica = connect(group.servers["b"])
    assert await replica.rows(state) == [(1, "replica", "1:1", 1)]
    assert await replica.rows(report) == [("1 replica 1:1 1",)]


async def test_the_state_takes_no_slot(
    group: BackendGroup, client: Any
) -> None:
    server = group.servers["a"]
    ran = len(server.executed)
    for _ in range(server.slots):
        await server.begin_work()
    report = "SELECT CONCAT_WS(' ', @@group_term, @@group_role) AS report"
    assert await client.rows(report) == [("1 primary",)]
    assert len(server.executed) == ran
    for _ in range(server.slots):
        server.end_work()


async def test_replicas_follow(
    group: BackendGroup, client: Any, connect: Any
) -> None:
    await client.run("INSERT INTO t (v) VALUES (1), (2)")
    await settled(group, "b", "c")
    replica = connect(group.servers["b"])
    assert await replica.rows("SELECT * FROM t") == [(1, 1), (2, 2)]


async def test_replicas_refuse_writes(
    group: BackendGroup, client: Any, connect: Any
) -> None:
    await settled(group, "b")
    replica = connect(group.servers["b"])
    for sql in ("INSERT INTO t (v) VALUES (1)", "DROP TABLE t"):
        with pytest.raises(Failure) as caught:
            await replica.run(sql)
        assert (caught.value.code, caught.value.sqlstate) == (1290, "HY000")
    assert not group.servers["b"].executed


async def test_lag(group: BackendGroup, client: Any) -> None:
    lagging = group.servers["b"]
    await settled(group, "b", "c")
    lagging.set_lag(FOREVER_SECONDS)
    await client.run("INSERT INTO t (v) VALUES (1)")
    await settled(group, "c")
    assert str(lagging.replication.log.end) == "1:1"
    assert not lagging.replication.caught_up()
    lagging.set_lag(0)
    await settled(group, "b")
    assert str(lagging.replication.log.end) == "1:2"


async def test_wait_for_position(
    group: BackendGroup, client: Any, connect: Any
) -> None:
    replica = connect(group.servers["b"])
    wait = "SELECT WAIT_FOR_LOG_POSITION('{}', {})"
    pending = asyncio.create_task(replica.value(wait.format("1:2", 5)))
    await asyncio.sleep(0)
    await client.run("INSERT INTO t (v) VALUES (1)")
    assert await pending == 1
    assert await replica.value(wait.format("1:9", 0.001)) is None
    assert await replica.value(wait.format("0:1", 5)) is None
    assert await replica.value(wait.format("0:0", 5)) == 1
    with pytest.raises(Failure, match="not a log position"):
        await replica.run(wait.format("x", 5))


async def test_fence(group: BackendGroup, client: Any) -> None:
    server = group.servers["a"]
    await client.run("SET GLOBAL group_term = 1")
    assert server.replication.role is Role.PRIMARY
    await client.run("SET GLOBAL group_term = 5")
    assert server.replication.role is Role.REPLICA
    with pytest.raises(Failure) as caught:
        await client.run("INSERT INTO t (v) VALUES (1)")
    assert caught.value.code == 1290
    with pytest.raises(Failure, match="fence_too_low") as caught:
        await client.run("SET GLOBAL group_term = 4")
    assert caught.value.code == 1105
    with pytest.raises(Failure, match="fence_mismatch"):
        await client.run("SET GLOBAL group_primary = '4:1:a'")
    with pytest.raises(Failure, match="log_position_mismatch"):
        await client.run("SET GLOBAL group_primary = '5:0:a'")
    await client.run("SET GLOBAL group_primary = '5:1:a'")
    answer = await client.run("INSERT INTO t (v) VALUES (1)")
    assert answer.info == "position=5:2"


async def test_fence_aborts_open_transactions(
    group: BackendGroup, client: Any, primary: BackendServer, connect: Any
) -> None:
    await client.run("BEGIN")
    await client.run("INSERT INTO t (v) VALUES (1)")
    reader = connect(primary)
    await reader.run("BEGIN")
    primary.fence(2)
    primary.announce("2:1:a")
    for sql in ("SELECT 1", "INSERT INTO t (v) VALUES (2)", "COMMIT"):
        with pytest.raises(Failure) as caught:
            await client.run(sql)
        assert caught.value.code == 1290
    with pytest.raises(Failure):
        await reader.run("INSERT INTO t (v) VALUES (3)")
    await client.run("INSERT INTO t (v) VALUES (4)")
    assert await client.rows("SELECT v FROM t") == [(4,)]


async def test_fence_rises_while_a_write_waits(
    client: Any, primary: BackendServer
) -> None:
    primary.statement_seconds = 0.01
    pending = asyncio.create_task(client.run("INSERT INTO t (v) VALUES (1)"))
    await asyncio.sleep(0)
    primary.fence(2)
    with pytest.raises(Failure) as caught:
        await pending
    assert caught.value.code == 1290
    primary.announce("2:1:a")
    assert await client.value("SELECT COUNT(*) FROM t") == 0


async def test_a_fenced_replica_stops_pulling(
    group: BackendGroup, client: Any
) -> None:
    await settled(group, "b", "c")
    group.servers["b"].fence(2)
    await client.run("INSERT INTO t (v) VALUES (1)")
    await settled(group, "c")
    assert str(group.servers["b"].replication.log.end) == "1:1"
    assert not group.servers["b"].replication.caught_up()


async def test_a_divergent_tail_is_removed(
    group: BackendGroup, client: Any, connect: Any
) -> None:
    a, b = group.servers["a"], group.servers["b"]
    await client.run("INSERT INTO t (v) VALUES (1)")
    await settled(group, "b", "c")
    group.partition("a", from_proxies=False)
    await client.run("INSERT INTO t (v) VALUES (2)")
    await client.run("INSERT INTO t (v) VALUES (3)")
    for name in ("b", "c"):
        group.servers[name].fence(2)
        group.servers[name].announce("2:2:b")
    await connect(b).run("INSERT INTO t (v) VALUES (4)")
    assert a.replication.writable
    group.heal("a")
    a.fence(2)
    a.announce("2:2:b")
    await settled(group, "a", "c")
    assert a.divergent == 2
    assert await client.value("SELECT @@log_divergent") == 2
    assert await client.rows("SELECT v FROM t") == [(1,), (4,)]
    assert data(a) == data(b) == data(group.servers["c"])
    position = "SELECT WAIT_FOR_LOG_POSITION('1:3', 0)"
    assert await client.value(position) is None


async def test_a_tail_below_a_later_term_is_found(
    group: BackendGroup, client: Any, connect: Any
) -> None:
    a, c = group.servers["a"], group.servers["c"]
    await settled(group, "b", "c")
    group.partition("a", from_proxies=False)
    for value in range(3):
        await client.run(f"INSERT INTO t (v) VALUES ({value})")
    for term, name in ((2, "b"), (3, "c")):
        offset = group.servers[name].replication.log.end.offset
        for member in ("b", "c"):
            group.servers[member].fence(term)
            group.servers[member].announce(f"{term}:{offset}:{name}")
        writer = connect(group.servers[name])
        for value in range(3):
            await writer.run(f"INSERT INTO t (v) VALUES ({term * 10 + value})")
        await settled(group, "b", "c")
    group.heal("a")
    a.fence(3)
    a.announce("3:4:c")
    await settled(group, "a")
    assert a.divergent == 3
    assert data(a) == data(c)


async def test_a_rebuild_uses_snapshots(
    group: BackendGroup, client: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        "jackdawcrank_standins.backend.database.SNAPSHOT_INTERVAL_ENTRIES", 4
    )
    a = group.servers["a"]
    for value in range(10):
        await client.run(f"INSERT INTO t (v) VALUES ({value})")
    await settled(group, "b", "c")
    assert [snapshot.length for snapshot in a.database.snapshots] == [0, 4, 8]
    group.partition("a", from_proxies=False)
    for value in range(5):
        await client.run(f"INSERT INTO t (v) VALUES (-{value})")
    for server in group.servers.values():
        server.fence(2)
        server.announce("2:11:b")
    group.heal("a")
    await settled(group, "a", "b", "c")
    assert data(a) == data(group.servers["b"])
    assert a.divergent == 5


async def test_roles_change_back_and_forth(
    group: BackendGroup, connect: Any, client: Any
) -> None:
    for term, name in enumerate("bacb", start=2):
        await settled(group, "a", "b", "c")
        await promote(group, term, name)
        writer = connect(group.servers[name])
        answer = await writer.run(f"INSERT INTO t (v) VALUES ({term})")
        assert answer.info == f"position={term}:{term}"
    await settled(group, "a", "b", "c")
    assert len({tuple(data(s)) for s in group.servers.values()}) == 1


async def test_replay_is_deterministic(
    group: BackendGroup, client: Any
) -> None:
    rng = random.Random(7)
    await client.run(
        "CREATE TABLE u (id INT AUTO_INCREMENT PRIMARY KEY,"
        " k VARCHAR(9) UNIQUE, at DATETIME DEFAULT NOW(), r DOUBLE,"
        " x VARCHAR(40), n INT DEFAULT 0)"
    )
    writes = (
        "INSERT INTO u (k, r, x) VALUES ('{0}', RAND(), UUID())",
        "INSERT IGNORE INTO u (k) VALUES ('{0}')",
        "INSERT INTO u (k) VALUES ('{0}') ON DUPLICATE KEY UPDATE n = n + 1,"
        " x = CONCAT(@tag, LAST_INSERT_ID())",
        "REPLACE INTO u (k, at) VALUES ('{0}', NOW() + INTERVAL {0} DAY)",
        "UPDATE u SET n = n + 1, x = UUID() WHERE k < '{0}'",
        "DELETE FROM u WHERE k = '{0}'",
        "BEGIN",
        "COMMIT",
        "ROLLBACK",
        "INSERT INTO u (id, k) VALUES ({0}, 'x{0}')",
    )
    for step in range(300):
        await client.run(f"SET @tag = 'tag{step}'")
        try:
            await client.run(rng.choice(writes).format(rng.randrange(30)))
        except Failure as failure:
            assert failure.code == 1062
    await client.run("COMMIT")
    await settled(group, "b", "c")
    primary = group.servers["a"]
    expected = data(primary)
    assert len(expected) > 10
    assert list(primary.database.writer().iterdump()) == expected
    assert data(group.servers["b"]) == expected
    assert data(group.servers["c"]) == expected
