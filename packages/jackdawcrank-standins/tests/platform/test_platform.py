import asyncio
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest

from jackdawcrank_policy.values import Vm
from jackdawcrank_standins.platform import Platform, StopMode

PUT = {"puts": [{"table": "t", "key": "k", "value": {"a": 1}}]}


@pytest.fixture
async def platform() -> AsyncIterator[Platform]:
    platform = Platform()
    await platform.start()
    yield platform
    await platform.close()


@pytest.fixture
async def http(platform: Platform) -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession(platform.url) as session:
        yield session


async def fetch(
    http: aiohttp.ClientSession, method: str, path: str, **options: Any
) -> tuple[int, Any]:
    async with http.request(method, path, **options) as response:
        if response.content_type == "application/json":
            return response.status, await response.json()
        return response.status, await response.read()


async def test_rows(http: aiohttp.ClientSession) -> None:
    assert (await fetch(http, "GET", "/tables/t/k"))[0] == 404
    check = {"table": "t", "key": "k", "version": None}
    body = {"checks": [check], **PUT}
    assert await fetch(http, "POST", "/transactions", json=body) == (
        200,
        {"versions": {"t/k": 1}},
    )
    assert await fetch(http, "POST", "/transactions", json=body) == (
        409,
        {
            "conflicts": [
                {"table": "t", "key": "k", "version": 1, "value": {"a": 1}}
            ]
        },
    )
    assert await fetch(http, "GET", "/tables/t/k") == (
        200,
        {"value": {"a": 1}, "version": 1},
    )


async def test_scan_with_keys_containing_slashes(
    http: aiohttp.ClientSession,
) -> None:
    keys = ["BackendServer/a", "BackendServer/b", "CallerClass/x"]
    puts = [{"table": "r", "key": key, "value": key} for key in keys]
    await fetch(http, "POST", "/transactions", json={"puts": puts})
    status, body = await fetch(
        http, "GET", "/tables/r", params={"after": keys[0], "limit": "1"}
    )
    assert (status, body["more"]) == (200, True)
    assert body["rows"] == [{"key": keys[1], "value": keys[1], "version": 1}]
    assert await fetch(http, "GET", f"/tables/r/{keys[2]}") == (
        200,
        {"value": keys[2], "version": 1},
    )


async def test_objects(http: aiohttp.ClientSession) -> None:
    absent = {"If-None-Match": "*"}
    put = await fetch(http, "PUT", "/objects/a/b", data=b"1", headers=absent)
    assert put == (204, b"")
    assert (
        await fetch(http, "PUT", "/objects/a/b", data=b"2", headers=absent)
    )[0] == 412
    async with http.get("/objects/a/b") as response:
        etag = response.headers["ETag"]
        assert await response.read() == b"1"
    same = {"If-Match": etag}
    await fetch(http, "PUT", "/objects/a/b", data=b"2", headers=same)
    assert await fetch(http, "GET", "/objects/a/b") == (200, b"2")
    assert await fetch(http, "GET", "/objects?prefix=a/") == (
        200,
        {"names": ["a/b"]},
    )
    assert (await fetch(http, "DELETE", "/objects/a/b"))[0] == 204
    assert (await fetch(http, "GET", "/objects/a/b"))[0] == 404


async def test_vms(platform: Platform, http: aiohttp.ClientSession) -> None:
    platform.list_vm(Vm("alpha", "10.0.0.1", 7001, 7002, "dar", "dar-1"))
    status, body = await fetch(http, "GET", "/vms")
    assert status == 200
    assert body["vms"] == [
        {
            "name": "alpha",
            "host": "10.0.0.1",
            "peer_port": 7001,
            "operator_port": 7002,
            "region": "dar",
            "data_center": "dar-1",
            "state": "live",
        }
    ]


@pytest.mark.parametrize(
    ("method", "path", "options"),
    [
        ("POST", "/transactions", {"data": b"{"}),
        ("POST", "/transactions", {"json": {"puts": 5}}),
        ("GET", "/tables/t?limit=x", {}),
        ("GET", "/tables/t?limit=0", {}),
        ("POST", "/faults", {"json": {"fault": "nothing"}}),
    ],
)
async def test_malformed_requests(
    http: aiohttp.ClientSession, method: str, path: str, options: Any
) -> None:
    status, body = await fetch(http, method, path, **options)
    assert status == 400
    assert body["error"]


async def test_request_takes_effect_when_its_response_is_lost(
    platform: Platform, http: aiohttp.ClientSession
) -> None:
    platform.faults.lose_answers = 1
    assert (await fetch(http, "GET", "/vms"))[0] == 200
    with pytest.raises(aiohttp.ClientError):
        await fetch(http, "POST", "/transactions", json=PUT)
    assert await fetch(http, "GET", "/tables/t/k") == (
        200,
        {"value": {"a": 1}, "version": 1},
    )
    assert (await fetch(http, "POST", "/transactions", json=PUT))[0] == 200


async def test_stopped_store_refuses_requests(
    platform: Platform, http: aiohttp.ClientSession
) -> None:
    platform.faults.stop()
    assert (await fetch(http, "POST", "/transactions", json=PUT))[0] == 503
    assert (await fetch(http, "GET", "/faults"))[0] == 200
    platform.faults.start()
    assert (await fetch(http, "GET", "/tables/t/k"))[0] == 404


async def test_hanging_store_serves_requests_after_restart(
    platform: Platform, http: aiohttp.ClientSession
) -> None:
    platform.faults.stop(StopMode.HANG)
    pending = asyncio.create_task(
        fetch(http, "POST", "/transactions", json=PUT)
    )
    while platform.usage.refused == 0:  # noqa: ASYNC110
        await asyncio.sleep(0)
    assert platform.tables.get("t", "k") is None
    platform.faults.start()
    assert (await pending)[0] == 200


async def test_hung_request_takes_effect_after_its_client_disconnects(
    platform: Platform, http: aiohttp.ClientSession
) -> None:
    platform.faults.stop(StopMode.HANG)
    pending = asyncio.create_task(
        fetch(http, "POST", "/transactions", json=PUT)
    )
    while platform.usage.refused == 0:  # noqa: ASYNC110
        await asyncio.sleep(0)
    pending.cancel()
    await asyncio.gather(pending, return_exceptions=True)
    platform.faults.start()
    async with asyncio.timeout(5):
        while platform.tables.get("t", "k") is None:  # noqa: ASYNC110
            await asyncio.sleep(0)


async def test_usage(platform: Platform, http: aiohttp.ClientSession) -> None:
    await fetch(http, "POST", "/transactions", json=PUT)
    await fetch(http, "GET", "/tables/t/k")
    await fetch(http, "GET", "/tables/t/absent")
    _, usage = await fetch(http, "GET", "/usage")
    assert (usage["reads"], usage["writes"]) == (2, 1)
    assert usage["rows_written"] == 1
    assert usage["bytes_in"] > 0
    assert usage["bytes_out"] > 0
