"""Statements per second through the proxy beside the direct way.

The stand-in, the proxy and the driver each run in a process of their own, so
that each has a core as in use. The same driver sends the same statements
straight to the primary's stand-in and through the proxy, in turns.
"""

import asyncio
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
from typing import Any

import asyncmy
import attrs

from report import Check, seed_argument, write_result

CONNECTIONS = 8
ROUNDS = 5
SECONDS_PER_ROUND = 1.5
READY_SECONDS = 30.0
TARGET_RATIO = 0.4
TARGET_ADDED_MS = 1.0
GROUP = "depot"


@attrs.frozen
class Load:
    """What one round measured.

    Attributes:
      per_second: Statements per second.
      median_ms: The median latency of a statement, in milliseconds.
    """

    per_second: float
    median_ms: float


def process_seconds(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def start(arguments: list[str]) -> subprocess.Popen[bytes]:
    """Start a Python process."""
    return subprocess.Popen([sys.executable, *arguments])


def wait_ready(process: subprocess.Popen[bytes], ready: pathlib.Path) -> None:
    """Wait for a process's ready file."""
    deadline = time.monotonic() + READY_SECONDS
    while not ready.exists():
        if process.poll() is not None or time.monotonic() > deadline:
            raise RuntimeError(f"not ready: {process.args!r}")
        time.sleep(0.05)


async def connect(address: dict[str, Any]) -> Any:
    """Return a connection of the driver."""
    return await asyncmy.connect(**address, database=GROUP, autocommit=True)


async def caller(
    connection: Any, sql: str, until: float, latencies: list[float]
) -> None:
    """Send one statement after the other until a time."""
    cursor = connection.cursor()
    while time.monotonic() < until:
        started = time.monotonic()
        await cursor.execute(sql)
        await cursor.fetchall()
        latencies.append(time.monotonic() - started)


async def offer(address: dict[str, Any], sql: str, connections: int) -> Load:
    """Offer statements on some connections for one round."""
    opened = [await connect(address) for _ in range(connections)]
    latencies: list[float] = []
    until = time.monotonic() + SECONDS_PER_ROUND
    await asyncio.gather(*(caller(c, sql, until, latencies) for c in opened))
    for connection in opened:
        connection.close()
    return Load(
        len(latencies) / SECONDS_PER_ROUND,
        statistics.median(latencies) * 1000,
    )


async def measure(
    direct: dict[str, Any], proxied: dict[str, Any], proxy_pid: int
) -> dict[str, Any]:
    """Measure both ways in turns; return the figures."""
    setup = await connect(proxied)
    cursor = setup.cursor()
    await cursor.execute("CREATE TABLE load_test (id INT PRIMARY KEY, v INT)")
    await cursor.execute("INSERT INTO load_test VALUES (1, 1), (2, 2)")
    sql = "SELECT v FROM load_test WHERE id = 1"
    figures: dict[str, list[float]] = {
        "direct_per_second": [],
        "proxied_per_second": [],
        "direct_single_ms": [],
        "proxied_single_ms": [],
    }
    spent = 0.0
    served = 0.0
    for _ in range(ROUNDS):
        load = await offer(direct, sql, CONNECTIONS)
        figures["direct_per_second"].append(load.per_second)
        before = process_seconds(proxy_pid)
        load = await offer(proxied, sql, CONNECTIONS)
        spent += process_seconds(proxy_pid) - before
        served += load.per_second * SECONDS_PER_ROUND
        figures["proxied_per_second"].append(load.per_second)
        single = await offer(direct, sql, 1)
        figures["direct_single_ms"].append(single.median_ms)
        single = await offer(proxied, sql, 1)
        figures["proxied_single_ms"].append(single.median_ms)
    medians = {name: statistics.median(v) for name, v in figures.items()}
    return medians | {
        "ratio": medians["proxied_per_second"] / medians["direct_per_second"],
        "added_median_ms": medians["proxied_single_ms"]
        - medians["direct_single_ms"],
        "proxy_microseconds_per_statement": spent / served * 1e6,
    }


def settings_for(description: dict[str, Any]) -> dict[str, Any]:
    """Return the settings of the proxy under test."""
    return {
        "vm": "bench1",
        "host": "127.0.0.1",
        "caller_port": 0,
        "peer_port": 0,
        "operator_port": 0,
        "homes_per_group": 1,
        "platform_url": description["platform"],
        "peer_secret": "bench-peer-secret",
        "token_keys": ["bench-token-key-0001"],
        "operator_tokens": [description["operator_token"]],
        "callers": [{"user": "app", "password": "app-password"}],
        "backend_user": "proxy",
        "backend_password": "proxy",
        "log_verbosity": "error",
    }


def run_processes(
    base: pathlib.Path, processes: list[subprocess.Popen[bytes]]
) -> dict[str, Any]:
    """Start the processes and measure; the caller ends them."""
    parts = pathlib.Path(__file__).parent / "overhead_parts"
    ready = base / "stand_ins.json"
    processes.append(start([str(parts / "stand_ins.py"), str(ready)]))
    wait_ready(processes[-1], ready)
    description = json.loads(ready.read_text())
    settings = base / "settings.json"
    settings.write_text(json.dumps(settings_for(description)))
    ready = base / "proxy.json"
    arguments = [str(parts / "proxy.py"), str(settings), str(ready)]
    processes.append(start(arguments))
    wait_ready(processes[-1], ready)
    port = json.loads(ready.read_text())["port"]
    login = {"user": "app", "password": "app-password"}
    proxied = {"host": "127.0.0.1", "port": port} | login
    return asyncio.run(
        measure(description["primary"], proxied, processes[-1].pid)
    )


def run(seed: int) -> bool:
    """Run the benchmark; return whether the targets are met."""
    with tempfile.TemporaryDirectory() as folder:
        processes: list[subprocess.Popen[bytes]] = []
        try:
            figures = run_processes(pathlib.Path(folder), processes)
        finally:
            for process in processes:
                process.kill()
                process.wait()
    checks = [
        Check(
            "throughput through the proxy by direct throughput",
            figures["ratio"],
            f">= {TARGET_RATIO}",
            figures["ratio"] >= TARGET_RATIO,
        ),
        Check(
            "added median latency in ms",
            figures["added_median_ms"],
            f"< {TARGET_ADDED_MS}",
            figures["added_median_ms"] < TARGET_ADDED_MS,
        ),
    ]
    return write_result("proxy_overhead", seed, figures, checks)


def main() -> None:
    """Run from the command line."""
    sys.exit(0 if run(seed_argument(__doc__)) else 1)


if __name__ == "__main__":
    main()
