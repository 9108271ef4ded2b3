"""Runs one proxy for a benchmark and declares the group."""

import asyncio
import json
import pathlib
import sys

from jackdawcrank.process import Proxy
from jackdawcrank_policy.configuration import Kind
from jackdawcrank_policy.values import GroupPhase
from jackdawcrank_wire.settings import Settings, load_settings

HOST = "127.0.0.1"


async def declare(proxy: Proxy, servers: dict[str, int]) -> None:
    """Declare the group and its servers."""
    spec = {"slotsPerServer": 8, "connectionLimit": 120}
    await proxy.change_log.append(
        Kind.DATABASE_GROUP, "depot", {"spec": spec}, 0, "bench"
    )
    for name, port in servers.items():
        server = {"group": "depot", "host": HOST, "port": port}
        await proxy.change_log.append(
            Kind.BACKEND_SERVER, name, {"spec": server}, 0, "bench"
        )


def is_open(proxy: Proxy) -> bool:
    """Return whether the group has a primary."""
    row = proxy.follower.configuration.group_rows.get("depot")
    return row is not None and row.phase is GroupPhase.ACTIVE


async def serve(settings_path: pathlib.Path, ready: pathlib.Path) -> None:
    """Serve until the process is ended."""
    settings = load_settings(settings_path)
    assert isinstance(settings, Settings), settings
    proxy = Proxy(settings)
    await proxy.start()
    described = settings_path.with_name("stand_ins.json").read_text()
    await declare(proxy, json.loads(described)["servers"])
    while not is_open(proxy):
        await proxy.follower.wait_above(proxy.follower.version)
    partial = ready.with_suffix(".partial")
    partial.write_text(json.dumps({"port": proxy.front.port}))
    partial.replace(ready)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])))
