from collections.abc import AsyncIterator, Callable, Iterator
from typing import Any

import pytest

from jackdawcrank_standins.backend import BackendGroup, BackendServer
from jackdawcrank_standins.backend.answers import RowsAnswer
from jackdawcrank_standins.backend.session import Session


@pytest.fixture
async def group() -> AsyncIterator[BackendGroup]:
    group = BackendGroup("depot")
    for name in ("a", "b", "c"):
        BackendServer(name, group, seed=1)
    await group.start()
    yield group
    broken = [
        error for server in group.servers.values() for error in server.broken
    ]
    await group.close()
    assert broken == []


@pytest.fixture
def primary(group: BackendGroup) -> BackendServer:
    return group.servers["a"]


class Client:
    """Runs statements in a session without a network."""

    def __init__(self, server: BackendServer) -> None:
        server.connection_count += 1
        self.session = Session(server, server.connection_count)

    async def run(self, sql: str) -> Any:
        return await self.session.run(sql)

    async def rows(self, sql: str) -> list[tuple[object, ...]]:
        answer = await self.session.run(sql)
        assert isinstance(answer, RowsAnswer)
        return answer.rows

    async def value(self, sql: str) -> object:
        rows = await self.rows(sql)
        return rows[0][0]


@pytest.fixture
def connect() -> Iterator[Callable[[BackendServer], Client]]:
    clients: list[Client] = []

    def open_client(server: BackendServer) -> Client:
        clients.append(Client(server))
        return clients[-1]

    yield open_client
    for client in clients:
        client.session.close()
