"""Statements per second of the backend stand-in on one core.

A group of three servers runs on one loop in a process of its own; two client
processes send statements to its primary on four connections each, while both
replicas apply what is written.
"""

import asyncio
import multiprocessing
import random
import sys
import time
from multiprocessing.connection import Connection
from typing import Any

import asyncmy

from jackdawcrank_standins.backend import BackendGroup, BackendServer
from report import Check, seed_argument, write_result

GROUP = "bench"
CLIENTS = 2
CONNECTIONS = 4
ROWS = 100
LOADS = {"reads": 1500, "writes": 800, "transactions": 400}
TARGET_PER_SECOND = 3000
SPAWN = multiprocessing.get_context("spawn")


def serve(pipe: Connection) -> None:
    """Serve a group until the pipe says otherwise; answer with the time."""
    asyncio.run(serve_until(pipe))


async def serve_until(pipe: Connection) -> None:
    """Serve a group; send its primary's port, and the time used."""
    group = BackendGroup(GROUP)
    for name in ("first", "second", "third"):
        BackendServer(name, group, slots=CLIENTS * CONNECTIONS)
    await group.start()
    pipe.send(group.servers["first"].port)
    while await asyncio.to_thread(pipe.recv):
        pipe.send(time.process_time())
    await group.close()


def statements(load: str, rng: random.Random) -> list[str]:
    """Return the statements of one round of a load."""
    insert = f"INSERT INTO t (v) VALUES ('x{rng.randrange(10**6)}')"
    if load == "reads":
        return [f"SELECT v FROM t WHERE id = {rng.randrange(1, ROWS)}"]
    if load == "writes":
        return [insert]
    return ["BEGIN", insert, "COMMIT"]


async def connect(port: int) -> Any:
    """Return a connection to the primary."""
    return await asyncmy.connect(
        host="127.0.0.1",
        port=port,
        user="proxy",
        password="proxy",
        database=GROUP,
        autocommit=True,
    )


async def rounds(port: int, load: str, seed: str) -> None:
    """Send all rounds of a load on one connection."""
    rng = random.Random(seed)
    connection = await connect(port)
    async with connection.cursor() as cursor:
        for _ in range(LOADS[load]):
            for sql in statements(load, rng):
                await cursor.execute(sql)
    connection.close()


async def offer(port: int, load: str, seed: str) -> None:
    """Send a load on several connections at once."""
    names = [f"{seed}:{number}" for number in range(CONNECTIONS)]
    await asyncio.gather(*(rounds(port, load, name) for name in names))


def client(
    port: int, load: str, seed: str, start: Any, pipe: Connection
) -> None:
    """Wait for the start, send a load, and send back when it began and ended."""
    start.wait()
    began = time.monotonic()
    asyncio.run(offer(port, load, seed))
    pipe.send((began, time.monotonic()))


async def prepare(port: int) -> None:
    """Create and fill the table."""
    connection = await connect(port)
    async with connection.cursor() as cursor:
        await cursor.execute(
            "CREATE TABLE t (id INT AUTO_INCREMENT PRIMARY KEY, v VARCHAR(20))"
        )
        for _ in range(ROWS):
            await cursor.execute("INSERT INTO t (v) VALUES ('a')")
    connection.close()


def measure(port: int, load: str, seed: int, server: Connection) -> Any:
    """Return rate and processor time of one load."""
    start = SPAWN.Barrier(CLIENTS)
    pipes = []
    for number in range(CLIENTS):
        mine, theirs = SPAWN.Pipe()
        arguments = (port, load, f"{seed}:{load}:{number}", start, theirs)
        SPAWN.Process(target=client, args=arguments).start()
        pipes.append(mine)
    server.send(True)
    before = server.recv()
    times = [pipe.recv() for pipe in pipes]
    server.send(True)
    used = server.recv() - before
    count = CLIENTS * CONNECTIONS * LOADS[load]
    seconds = max(t[1] for t in times) - min(t[0] for t in times)
    return {
        "per_second": round(count / seconds),
        "microseconds_of_processor": round(used / count * 1e6, 1),
    }


def run(seed: int) -> bool:
    """Measure all loads and write the result."""
    server, theirs = SPAWN.Pipe()
    process = SPAWN.Process(target=serve, args=(theirs,))
    process.start()
    port = server.recv()
    asyncio.run(prepare(port))
    figures = {load: measure(port, load, seed, server) for load in LOADS}
    server.send(False)
    process.join()
    checks = [
        Check(
            f"single {load} per second",
            figures[load]["per_second"],
            f"more than {TARGET_PER_SECOND}",
            figures[load]["per_second"] > TARGET_PER_SECOND,
        )
        for load in ("reads", "writes")
    ]
    return write_result("standins", seed, figures, checks)


def main() -> None:
    """Read the command line and run the benchmark."""
    sys.exit(not run(seed_argument(__doc__)))


if __name__ == "__main__":
    main()
