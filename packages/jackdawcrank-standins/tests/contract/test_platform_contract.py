"""What the platform's service promises, for any implementation of it."""

from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest


@pytest.fixture
async def http(platform_url: str) -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession(platform_url) as session:
        yield session


async def transact(
    http: aiohttp.ClientSession, **body: Any
) -> tuple[int, dict[str, Any]]:
    async with http.post("/transactions", json=body) as response:
        return response.status, await response.json()


async def test_a_transaction_is_all_or_nothing(
    http: aiohttp.ClientSession, unique: str
) -> None:
    absent = [{"table": unique, "key": "a", "version": None}]
    put = [{"table": unique, "key": "a", "value": 1}]
    assert await transact(http, checks=absent, puts=put) == (
        200,
        {"versions": {f"{unique}/a": 1}},
    )
    both = [*put, {"table": unique, "key": "b", "value": 2}]
    status, body = await transact(http, checks=absent, puts=both)
    assert status == 409
    assert body["conflicts"] == [
        {"table": unique, "key": "a", "version": 1, "value": 1}
    ]
    async with http.get(f"/tables/{unique}/b") as response:
        assert response.status == 404


async def test_versions_never_go_back(
    http: aiohttp.ClientSession, unique: str
) -> None:
    row = {"table": unique, "key": "a"}
    versions = []
    for _ in range(2):
        _, body = await transact(http, puts=[{**row, "value": 1}])
        versions.append(body["versions"][f"{unique}/a"])
        await transact(http, deletes=[row])
    assert versions[1] > versions[0]


async def test_a_scan_is_in_the_order_of_keys(
    http: aiohttp.ClientSession, unique: str
) -> None:
    keys = ["b", "a", "c/1"]
    puts = [{"table": unique, "key": key, "value": key} for key in keys]
    await transact(http, puts=puts)
    query = {"after": "a", "limit": "1"}
    async with http.get(f"/tables/{unique}", params=query) as response:
        body = await response.json()
    assert [row["key"] for row in body["rows"]] == ["b"]
    assert body["more"] is True


async def test_objects_are_written_under_conditions(
    http: aiohttp.ClientSession, unique: str
) -> None:
    path = f"/objects/{unique}"
    absent = {"If-None-Match": "*"}
    async with http.put(path, data=b"1", headers=absent) as response:
        assert response.status in (200, 201, 204)
    async with http.put(path, data=b"2", headers=absent) as response:
        assert response.status == 412
    async with http.get(path) as response:
        same = {"If-Match": response.headers["ETag"]}
        assert await response.read() == b"1"
    async with http.put(path, data=b"2", headers=same) as response:
        assert response.status in (200, 201, 204)
    async with http.put(path, data=b"3", headers=same) as response:
        assert response.status == 412
    async with http.delete(path) as response:
        assert response.status in (200, 204)


async def test_the_list_of_vms(http: aiohttp.ClientSession) -> None:
    async with http.get("/vms") as response:
        assert response.status == 200
        body = await response.json()
    assert isinstance(body["vms"], list)
