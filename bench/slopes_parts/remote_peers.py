"""Entry proxies that hold streams to the measured one."""

import asyncio
import time
from typing import Any

from jackdawcrank.peers import PeerHandlers, PeerStreamPool
from jackdawcrank_wire.messages import (
    ConfigVersion,
    Execute,
    StatementKind,
    StatementRequest,
)
from slopes_parts.remote import serve

TASKS = 16
SECRET = b"secret of the benchmark"
SQL = b"SELECT plot, carbon FROM samples WHERE id = 7"
STATEMENT = StatementRequest(
    "soil",
    SQL,
    caller="app",
    session_id="vm-0000:5f3a-17",
    token="3:81723",
    max_age_ms=5000,
    kind=StatementKind.READ,
    setup=("SET time_zone = 'UTC'",),
)

peer_pools: list[PeerStreamPool] = []


async def open_streams(request: dict[str, Any]) -> dict[str, Any]:
    """Open streams until there are as many as asked."""
    address = ("127.0.0.1", request["port"])
    while len(peer_pools) < request["count"]:
        handlers = PeerHandlers()
        handlers.register(ConfigVersion, ignore)
        peer_pool = PeerStreamPool(
            f"vm-{len(peer_pools):04}", "1", SECRET, handlers
        )
        peer_pool.set_addresses({"home": address})
        await peer_pool.notify("home", ConfigVersion(0))
        peer_pools.append(peer_pool)
    return {"open": len(peer_pools)}


async def ignore(vm: str, message: ConfigVersion) -> None:
    """Take a message in."""


async def run_statements(request: dict[str, Any]) -> dict[str, Any]:
    """Forward statements over the first stream, some at once."""
    share = request["count"] // TASKS
    before = time.process_time()
    await asyncio.gather(*(forward(share) for _ in range(TASKS)))
    return {"ran": share * TASKS, "cpu": time.process_time() - before}


async def forward(count: int) -> None:
    """Forward statements one after the other."""
    for _ in range(count):
        answer = await peer_pools[0].request(
            "home", Execute(0, STATEMENT), 10.0
        )
        assert type(answer).__name__ == "Answer", answer


async def hold(request: dict[str, Any]) -> dict[str, Any]:
    """Keep one request outstanding on each stream for a while."""
    statement = StatementRequest("soil", b"HOLD")
    execute = Execute(0, statement)
    waits = [
        peer_pool.request("home", execute, request["seconds"])
        for peer_pool in peer_pools
    ]
    await asyncio.gather(*waits)
    return {}


if __name__ == "__main__":
    asyncio.run(
        serve({"open": open_streams, "run": run_statements, "hold": hold})
    )
