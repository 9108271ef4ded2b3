"""Fixtures for a group of stand-ins for backend servers."""

from collections.abc import AsyncIterator

import pytest

from jackdawcrank.backend.endpoint import Endpoint
from jackdawcrank_standins.backend import BackendGroup, BackendServer

HOST = "127.0.0.1"


@pytest.fixture
async def server() -> AsyncIterator[BackendServer]:
    group = BackendGroup("ledger")
    for name in ("s1", "s2", "s3"):
        BackendServer(name, group, connect_seconds=0.0)
    await group.start(HOST)
    yield group.servers["s1"]
    await group.close()


@pytest.fixture
def endpoint(server: BackendServer) -> Endpoint:
    return Endpoint("s1", HOST, server.port, "ledger", "proxy", "proxy")
