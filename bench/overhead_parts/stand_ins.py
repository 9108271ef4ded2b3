"""Runs the platform and one group's stand-ins for a benchmark."""

import asyncio
import json
import pathlib
import sys

from jackdawcrank_standins.backend import BackendGroup, BackendServer
from jackdawcrank_standins.platform import Platform

HOST = "127.0.0.1"


async def serve(ready: pathlib.Path) -> None:
    """Serve until the process is ended."""
    platform = Platform()
    await platform.start(HOST)
    group = BackendGroup("depot")
    for number in range(1, 4):
        BackendServer(f"depot-{number}", group, slots=8, connection_limit=80)
    await group.start(HOST)
    first = group.servers["depot-1"]
    description = {
        "platform": platform.url,
        "operator_token": "bench:bench-operator-token",
        "primary": {
            "host": HOST,
            "port": first.port,
            "user": "proxy",
            "password": "proxy",
        },
        "servers": {s.name: s.port for s in group.servers.values()},
    }
    partial = ready.with_suffix(".partial")
    partial.write_text(json.dumps(description))
    partial.replace(ready)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(pathlib.Path(sys.argv[1])))
