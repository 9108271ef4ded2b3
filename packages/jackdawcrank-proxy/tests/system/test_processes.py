"""Tests of proxies as processes of their own."""

import asyncio
import json
import pathlib
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pymysql
import pytest
import pytest_asyncio

from jackdawcrank_policy.values import Vm
from jackdawcrank_standins.backend import BackendGroup, BackendServer
from jackdawcrank_standins.platform import Platform
from jackdawcrank_standins.users_platform import free_ports

HOST = "127.0.0.1"
WAIT_SECONDS = 30.0
POLL_SECONDS = 0.1
GROUP = "depot"


class Processes:
    """Proxies in processes, stand-ins in the test."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.platform = Platform()
        self.group = BackendGroup(GROUP)
        for number in range(1, 4):
            BackendServer(f"depot-{number}", self.group, lag_seconds=0.05)
        self.ports: dict[str, int] = {}
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    def settings(self, vm: str) -> dict[str, Any]:
        caller_port, peer_port, operator_port = free_ports(3)
        return {
            "vm": vm,
            "host": HOST,
            "caller_port": caller_port,
            "peer_port": peer_port,
            "operator_port": operator_port,
            "platform_url": self.platform.url,
            "peer_secret": "peer-secret-of-the-test",
            "token_keys": ["token-key-of-the-test"],
            "operator_tokens": ["ops:operator-token-of-the-test"],
            "callers": [{"user": "app", "password": "secret"}],
            "backend_user": "proxy",
            "backend_password": "proxy",
            "log_verbosity": "error",
        }

    def start(self, vm: str) -> None:
        settings = self.settings(vm)
        path = self.folder / f"{vm}.json"
        path.write_text(json.dumps(settings))
        self.ports[vm] = settings["caller_port"]
        command = [sys.executable, "-m", "jackdawcrank.main", "run"]
        self.running[vm] = subprocess.Popen([*command, "--settings", str(path)])
        self.platform.list_vm(
            Vm(vm, HOST, settings["peer_port"], settings["operator_port"])
        )

    async def declare(self) -> None:
        path = self.folder / "vm1.json"
        port = json.loads(path.read_text())["operator_port"]
        headers = {"Authorization": "Bearer ops:operator-token-of-the-test"}
        specs: list[tuple[str, str, dict[str, Any]]] = [
            ("DatabaseGroup", GROUP, {})
        ]
        for server in self.group.servers.values():
            spec = {"group": GROUP, "host": HOST, "port": server.port}
            specs.append(("BackendServer", server.name, spec))
        async with aiohttp.ClientSession(headers=headers) as session:
            for kind, name, spec in specs:
                url = f"http://{HOST}:{port}/v1/{kind}/{name}"
                body = {
                    "apiVersion": "jackdawcrank/v1",
                    "kind": kind,
                    "metadata": {"name": name},
                    "spec": spec,
                }
                async with session.put(url, json=body) as answer:
                    assert answer.status in (200, 201), await answer.text()

    def connect(self, vm: str) -> Any:
        return pymysql.connect(
            host=HOST,
            port=self.ports[vm],
            user="app",
            password="secret",
            database=GROUP,
            autocommit=True,
            read_timeout=WAIT_SECONDS,
        )

    async def sql(self, vm: str, statement: str) -> Any:
        """Run a statement, trying again while it is refused."""

        def once() -> Any:
            cursor = self.connect(vm).cursor()
            cursor.execute(statement)
            return cursor.fetchall()

        async with asyncio.timeout(WAIT_SECONDS):
            while True:
                try:
                    return await asyncio.to_thread(once)
                except pymysql.MySQLError as error:
                    refused = str(error.args[-1]).startswith("not_run")
                    if not refused and error.args[0] not in (2003, 2013):
                        raise
                    await asyncio.sleep(POLL_SECONDS)

    async def wait(self, vm: str) -> int:
        process = self.running[vm]
        return await asyncio.to_thread(process.wait, WAIT_SECONDS)


@pytest_asyncio.fixture
async def processes(tmp_path: pathlib.Path) -> AsyncIterator[Processes]:
    system = Processes(tmp_path)
    await system.platform.start(HOST)
    await system.group.start(HOST)
    for vm in ("vm1", "vm2", "vm3"):
        system.start(vm)
    await asyncio.sleep(1.0)
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            for vm in system.running:
                await wait_for_port(system, vm, "operator_port")
                await wait_for_port(system, vm, "caller_port")
        await system.declare()
        yield system
    finally:
        for process in system.running.values():
            process.kill()
            process.wait()
        await system.group.close()
        await system.platform.close()


async def wait_for_port(system: Processes, vm: str, name: str) -> None:
    """Wait until a process listens on one of its ports."""
    settings = json.loads((system.folder / f"{vm}.json").read_text())
    while True:
        try:
            _, writer = await asyncio.open_connection(HOST, settings[name])
        except OSError:
            await asyncio.sleep(POLL_SECONDS)
            continue
        writer.close()
        return


async def test_killed_proxy_loses_nothing_acknowledged(
    processes: Processes,
) -> None:
    await processes.sql("vm1", "CREATE TABLE cores (id INT PRIMARY KEY)")
    for number in range(5):
        await processes.sql("vm2", f"INSERT INTO cores VALUES ({number})")
    open_transaction = await asyncio.to_thread(processes.connect, "vm2")
    cursor = open_transaction.cursor()
    await asyncio.to_thread(cursor.execute, "BEGIN")
    await asyncio.to_thread(cursor.execute, "INSERT INTO cores VALUES (99)")
    processes.running["vm2"].kill()
    rows = await processes.sql("vm3", "SELECT id FROM cores ORDER BY id")
    assert rows == tuple((number,) for number in range(5))
    await processes.sql("vm1", "INSERT INTO cores VALUES (99)")


async def test_sigterm_is_a_graceful_end(processes: Processes) -> None:
    await processes.sql("vm1", "CREATE TABLE cores (id INT)")
    connection = await asyncio.to_thread(processes.connect, "vm3")
    cursor = connection.cursor()
    await asyncio.to_thread(cursor.execute, "BEGIN")
    await asyncio.to_thread(cursor.execute, "INSERT INTO cores VALUES (1)")
    processes.running["vm3"].send_signal(signal.SIGTERM)
    await asyncio.sleep(0.5)
    await asyncio.to_thread(cursor.execute, "INSERT INTO cores VALUES (2)")
    await asyncio.to_thread(cursor.execute, "COMMIT")
    assert await processes.wait("vm3") == 0
    rows = await processes.sql("vm1", "SELECT id FROM cores ORDER BY id")
    assert rows == ((1,), (2,))


@pytest.mark.parametrize(
    ("content", "message"),
    [("{", "is not JSON"), ('{"vm": 1}', "vm: is not a string")],
)
def test_wrong_settings_end_with_status_2(
    tmp_path: pathlib.Path, content: str, message: str
) -> None:
    path = tmp_path / "settings.json"
    path.write_text(content)
    answer = subprocess.run(
        [sys.executable, "-m", "jackdawcrank.main", "run", "--settings", path],
        capture_output=True,
        text=True,
        check=False,
    )
    assert answer.returncode == 2
    assert f"{path}: {message}" in answer.stderr
