import json
import os
import secrets
from collections.abc import AsyncIterator

import asyncmy
import attrs
import pytest

from jackdawcrank_standins.backend import BackendGroup, BackendServer
from jackdawcrank_standins.platform import Platform

PLATFORM_VARIABLE = "JACKDAWCRANK_CONTRACT_PLATFORM"
BACKEND_VARIABLE = "JACKDAWCRANK_CONTRACT_BACKEND"


@pytest.fixture
async def platform_url() -> AsyncIterator[str]:
    """The URL of a platform: the one named in the environment, or a stand-in."""
    named = os.environ.get(PLATFORM_VARIABLE)
    if named:
        yield named
        return
    platform = Platform()
    await platform.start()
    yield platform.url
    await platform.close()


@pytest.fixture
def unique() -> str:
    """A name that no other run uses."""
    return f"contract_{secrets.token_hex(6)}"


@attrs.define
class Endpoint:
    """A backend server as a client reaches it."""

    name: str
    host: str
    port: int
    user: str
    password: str
    database: str
    connection: asyncmy.Connection | None = None

    async def run(self, sql: str) -> tuple[tuple[object, ...], ...]:
        """Return the rows of a statement."""
        if self.connection is None:
            self.connection = await asyncmy.connect(
                host=self.host,
                port=self.port,
                user=self.user,
                password=self.password,
                database=self.database,
                autocommit=True,
            )
        async with self.connection.cursor() as cursor:
            await cursor.execute(sql)
            return tuple(await cursor.fetchall())

    async def info(self, sql: str) -> bytes:
        """Return the info text of a statement's OK packet."""
        await self.run(sql)
        assert self.connection is not None
        return bytes(self.connection._result.message or b"")

    async def term(self) -> int:
        """Return the server's fence term."""
        return int(str((await self.run("SELECT @@group_term"))[0][0]))

    async def position(self) -> str:
        """Return the server's log position."""
        return str((await self.run("SELECT @@log_position"))[0][0])


@pytest.fixture
async def endpoints() -> AsyncIterator[list[Endpoint]]:
    """A group's servers: those named in the environment, or stand-ins.

    The variable holds a JSON list of objects with name, host, port, user,
    password and database; the tests promote the first of them.
    """
    named = os.environ.get(BACKEND_VARIABLE)
    group = BackendGroup("contract")
    if named:
        found = [Endpoint(**item) for item in json.loads(named)]
    else:
        for name in ("first", "second", "third"):
            BackendServer(name, group)
        await group.start()
        found = [
            Endpoint(
                server.name,
                server.host,
                server.port,
                "proxy",
                "proxy",
                group.name,
            )
            for server in group.servers.values()
        ]
    yield found
    for endpoint in found:
        if endpoint.connection is not None:
            endpoint.connection.close()
    await group.close()


@pytest.fixture
async def primary(endpoints: list[Endpoint]) -> Endpoint:
    """The first server, promoted to a new term."""
    first = endpoints[0]
    term = 1 + max([await endpoint.term() for endpoint in endpoints])
    for endpoint in endpoints:
        await endpoint.run(f"SET GLOBAL group_term = {term}")
    offset = (await first.position()).split(":")[1]
    for endpoint in endpoints:
        await endpoint.run(
            f"SET GLOBAL group_primary = '{term}:{offset}:{first.name}'"
        )
    return first
