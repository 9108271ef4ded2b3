"""Tests of failures of servers and of the platform, end to end."""

import asyncio
import contextlib
import itertools
import logging
import time
from typing import Any

import attrs
import pymysql
import pytest

from jackdawcrank_policy.values import VmState

WAIT_SECONDS = 20.0
POLL_SECONDS = 0.02
LEASE_LAPSE_SECONDS = 3.5


async def until(condition: Any) -> None:
    """Wait until something holds."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)


def prepare(callers: Any) -> None:
    callers.pymysql().cursor().execute(
        "CREATE TABLE bookings (id VARCHAR(40) PRIMARY KEY)"
    )


def book(callers: Any, vm: str, count: int) -> tuple[list[str], list[str]]:
    """Write rows; return those acknowledged and those refused."""
    done, refused = [], []
    for number in range(count):
        row = f"{vm}-{number}"
        try:
            connection = callers.pymysql(vm, read_timeout=WAIT_SECONDS)
            connection.cursor().execute(
                f"INSERT INTO bookings VALUES ('{row}') "
                f"/*request_id='{row}',deadline_ms='8000'*/"
            )
            done.append(row)
        except pymysql.MySQLError as error:
            logging.info("%s: %s", row, error)
            if str(error.args[-1]).startswith("not_run"):
                refused.append(row)
        time.sleep(POLL_SECONDS)
    return done, refused


def stored(callers: Any) -> list[str]:
    cursor = callers.pymysql("vm2").cursor()
    cursor.execute("SELECT id FROM bookings")
    return [row[0] for row in cursor.fetchall()]


@pytest.mark.parametrize("fault", ["partition", "stop", "pause"])
async def test_writes_survive_the_loss_of_the_primary(
    own_callers: Any, fault: str
) -> None:
    await own_callers.run(prepare)
    system = own_callers.system
    group = system.groups["depot"]
    await asyncio.sleep(0.3)
    writers = [
        asyncio.to_thread(book, own_callers, vm, 60)
        for vm in ("vm1", "vm2", "vm3")
    ]
    running = asyncio.gather(*writers)
    await asyncio.sleep(0.5)
    old = system.primary_of("depot")
    match fault:
        case "partition":
            group.partition(old)
        case "stop":
            await group.servers[old].stop()
        case "pause":
            group.servers[old].pause()
    outcomes = await running
    assert system.primary_of("depot") != old
    rows = await own_callers.run(stored)
    assert len(rows) == len(set(rows))
    refused = {row for _, rows in outcomes for row in rows}
    assert refused.isdisjoint(rows)
    done = {row for rows, _ in outcomes for row in rows}
    lost = done - set(rows)
    # Without write confirmation, what the replicas had not pulled is lost.
    assert len(lost) <= len(done) // 10
    assert len(done) >= 100


async def test_replaced_primary_returns_as_replica(own_callers: Any) -> None:
    await own_callers.run(prepare)
    system = own_callers.system
    group = system.groups["depot"]
    old = system.primary_of("depot")
    group.partition(old)
    await until(lambda: system.primary_of("depot") != old)
    group.heal(old)
    server = group.servers[old]
    await until(lambda: str(server.replication.role) == "replica")
    await own_callers.run(lambda c: book(c, "vm1", 3))
    leader = group.servers[system.primary_of("depot")]
    await until(
        lambda: server.replication.log.end == leader.replication.log.end
    )


async def test_writes_go_on_without_the_store(own_callers: Any) -> None:
    await own_callers.run(prepare)
    system = own_callers.system
    system.platform.faults.stop()
    await asyncio.sleep(LEASE_LAPSE_SECONDS)
    done, _ = await own_callers.run(lambda c: book(c, "vm1", 5))
    assert len(done) == 5
    rows = await own_callers.run(stored)
    assert set(done) <= set(rows)
    system.platform.faults.heal()


async def test_silent_connections_are_replaced(own_callers: Any) -> None:
    await own_callers.run(prepare)
    system = own_callers.system
    await asyncio.sleep(0.5)
    for server in system.groups["depot"].servers.values():
        # A session that falls silent inside a transaction keeps its locks.
        sessions = [one.session for one in server.connections.values()]
        unfinished = sum(one.transaction is not None for one in sessions)
        logging.info("%s: %d transactions open", server.name, unfinished)
        server.silence()
    done, _ = await own_callers.run(lambda c: book(c, "vm1", 2))
    assert len(done) == 2
    rows = await own_callers.run(stored)
    assert sorted(rows) == sorted(done)


async def test_leaving_server_gets_no_new_work(own_callers: Any) -> None:
    system = own_callers.system
    await own_callers.run(prepare)
    replica = next(
        name
        for name in system.groups["depot"].servers
        if name != system.primary_of("depot")
    )
    proxy = system.proxies["vm1"]
    entry = proxy.follower.configuration.entries["BackendServer", replica]
    body = {**entry.document}
    version = body.pop("resource_version")
    body["spec"] = {**body["spec"], "state": "leaving"}
    await proxy.change_log.append(
        "BackendServer", replica, body, version, "test"
    )
    await until(
        lambda: all(
            home.group.state.pools[replica].draining
            for p in system.proxies.values()
            for home in p.registry.homes.values()
        )
    )
    server = system.groups["depot"].servers[replica]
    before = len(server.executed)

    def reads(callers: Any) -> None:
        for vm in ("vm1", "vm2", "vm3"):
            cursor = callers.pymysql(vm).cursor()
            for _ in range(20):
                cursor.execute("SELECT * FROM bookings /*max_age_ms='9000'*/")

    await own_callers.run(reads)
    new = list(itertools.islice(server.executed, before, None))
    assert not [s for s in new if "bookings" in s.sql]


async def test_drain_cuts_no_request(own_callers: Any) -> None:
    await own_callers.run(prepare)
    system = own_callers.system
    stop = False
    errors: list[str] = []
    writing: set[str] = set()

    def work(callers: Any, name: str) -> int:
        written = 0
        with contextlib.closing(callers.pymysql("vm3")) as connection:
            while not stop:
                try:
                    connection.cursor().execute(
                        f"INSERT INTO bookings VALUES ('{name}-{written}')"
                    )
                    written += 1
                    writing.add(name)
                except pymysql.MySQLError as error:
                    errors.append(str(error.args[-1]))
                    return written
        return written

    workers = asyncio.gather(
        *(asyncio.to_thread(work, own_callers, f"w{n}") for n in range(6))
    )
    # The drain refuses the logins of writers that are not connected yet.
    await until(lambda: len(writing) == 6)
    await asyncio.sleep(0.4)
    proxy = system.proxies["vm3"]
    await proxy.drain("test")
    async with asyncio.timeout(WAIT_SECONDS):
        await proxy.stopped.wait()
    stop = True
    written = sum(await workers)
    cut = [one for one in errors if "not_run: shutting_down" not in one]
    assert cut == []
    rows = await own_callers.run(stored)
    assert len(rows) == written


async def test_proxy_listed_as_leaving_shuts_down(own_callers: Any) -> None:
    system = own_callers.system
    proxy = system.proxies["vm3"]
    await until(lambda: proxy.listed_live)
    listed = system.platform.vms
    vm = attrs.evolve(proxy.tracker.own, state=VmState.LEAVING)
    listed.put(vm, asyncio.get_running_loop().time(), at_once=True)
    async with asyncio.timeout(WAIT_SECONDS):
        await proxy.stopped.wait()
    await own_callers.run(prepare)


async def test_dead_replica_does_not_hold_confirmed_writes(
    own_callers: Any,
) -> None:
    await own_callers.run(prepare)
    system = own_callers.system
    proxy = system.proxies["vm1"]
    entry = proxy.follower.configuration.entries["DatabaseGroup", "depot"]
    body = {**entry.document}
    version = body.pop("resource_version")
    body["spec"] = {**body["spec"], "confirmWrites": True}
    await proxy.change_log.append(
        "DatabaseGroup", "depot", body, version, "test"
    )
    await until(
        lambda: all(
            home.group.state.spec.confirm_writes
            for one in system.proxies.values()
            for home in one.registry.homes.values()
        )
    )
    group = system.groups["depot"]
    replica = next(n for n in group.servers if n != system.primary_of("depot"))
    group.partition(replica, from_servers=False)
    done, _ = await own_callers.run(lambda c: book(c, "vm1", 5))
    assert len(done) == 5
    confirmations = [
        control.idle_confirm_connections
        for home in proxy.registry.homes.values()
        for name, control in home.group.state.controls.items()
        if name not in (replica, system.primary_of("depot"))
    ]
    assert any(confirmations)


async def test_lost_write_is_told_and_never_read_around(
    own_callers: Any,
) -> None:
    def write(callers: Any) -> Any:
        connection = callers.pymysql("vm1")
        cursor = connection.cursor()
        cursor.execute("CREATE TABLE claims (id INT)")
        time.sleep(0.6)
        group = callers.system.groups["depot"]
        primary = callers.system.primary_of("depot")
        group.partition(primary, from_proxies=False)
        cursor.execute("INSERT INTO claims VALUES (1)")
        cursor.execute("SELECT @@session_token")
        return cursor.fetchone()[0]

    token = await own_callers.run(write)
    system = own_callers.system
    old = system.primary_of("depot")
    system.groups["depot"].partition(old)
    await until(lambda: system.primary_of("depot") != old)

    def read(callers: Any) -> Any:
        cursor = callers.pymysql("vm2").cursor()
        with pytest.raises(pymysql.MySQLError) as caught:
            cursor.execute(f"SELECT * FROM claims /*session='{token}'*/")
        return caught.value.args[1]

    assert (await own_callers.run(read)).startswith("not_run: write_lost")
