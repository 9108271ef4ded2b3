"""Tests that a watch sends each change once and in order."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import pytest

from jackdawcrank.operators.watch import WatchHandler
from jackdawcrank.store import Appended
from jackdawcrank_policy.configuration import Kind
from jackdawcrank_standins.platform import Platform, StopMode


async def append(proxy: Any, count: int) -> int:
    version = 0
    for number in range(count):
        slots = proxy.ports.follower.version * 10 + number + 1
        outcome = await proxy.ports.change_log.append(
            Kind.DATABASE_GROUP,
            f"g{number}",
            {"spec": {"slotsPerServer": slots}},
            None,
            "ada",
        )
        assert isinstance(outcome, Appended)
        version = outcome.version
    await proxy.ports.follower.read()
    return version


@asynccontextmanager
async def open_watch(
    http: aiohttp.ClientSession, start: int
) -> AsyncIterator[aiohttp.StreamReader]:
    async with http.get("/v1/watch", params={"from": start}) as response:
        assert response.status == 200
        yield response.content


async def versions(lines: aiohttp.StreamReader, count: int) -> list[int]:
    async with asyncio.timeout(5):
        return [
            json.loads(await lines.readline())["version"] for _ in range(count)
        ]


async def test_past_and_new_changes_are_sent_in_order(
    http: aiohttp.ClientSession, proxy: Any
) -> None:
    await append(proxy, 3)
    async with open_watch(http, 1) as lines:
        assert await versions(lines, 2) == [2, 3]
        await append(proxy, 2)
        assert await versions(lines, 2) == [4, 5]


async def test_watch_can_be_resumed_at_another_proxy(
    http: aiohttp.ClientSession,
    other_http: aiohttp.ClientSession,
    proxies: list[Any],
) -> None:
    await append(proxies[0], 4)
    async with open_watch(http, 0) as lines:
        assert await versions(lines, 2) == [1, 2]
    async with open_watch(other_http, 2) as lines:
        await proxies[1].ports.follower.read()
        assert await versions(lines, 2) == [3, 4]


async def test_changes_no_longer_in_memory_are_read_from_the_store(
    http: aiohttp.ClientSession, proxy: Any
) -> None:
    await append(proxy, 4)
    proxy.ports.follower.state.recent.clear()
    async with open_watch(http, 1) as lines:
        assert await versions(lines, 3) == [2, 3, 4]
        await append(proxy, 1)
        assert await versions(lines, 1) == [5]


async def test_watch_from_a_trimmed_version_is_gone(
    http: aiohttp.ClientSession, proxy: Any, platform: Platform
) -> None:
    await append(proxy, 4)
    ports = proxy.ports
    ports.follower.state.recent.clear()
    rows, _ = platform.tables.scan("changes", "", 10)
    await ports.store.transact(delete_changes([row.key for row in rows[:2]]))
    async with http.get("/v1/watch?from=1") as response:
        assert response.status == 410
        assert "list the resources" in await response.text()
    async with open_watch(http, 2) as lines:
        assert await versions(lines, 2) == [3, 4]


def delete_changes(keys: list[str]) -> Any:
    from jackdawcrank.store import RowDelete, Transaction

    return Transaction(deletes=tuple(RowDelete("changes", k) for k in keys))


async def test_store_outage_is_not_reported_as_gone(
    http: aiohttp.ClientSession, proxy: Any, platform: Platform
) -> None:
    await append(proxy, 2)
    proxy.ports.follower.state.recent.clear()
    platform.faults.stop(StopMode.REFUSE)
    async with http.get("/v1/watch?from=0") as response:
        assert response.status == 503


@pytest.mark.parametrize("start", ["x", "-1", "1.5"])
async def test_malformed_start_version_is_refused(
    http: aiohttp.ClientSession, start: str
) -> None:
    async with http.get("/v1/watch", params={"from": start}) as response:
        assert response.status == 400


async def test_idle_watch_sends_bookmarks(
    http: aiohttp.ClientSession,
    proxy: Any,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def return_immediately(self: WatchHandler, version: int) -> bool:
        await asyncio.sleep(0.001)
        return self.ports.follower.version > version

    monkeypatch.setattr(WatchHandler, "wait_for_newer", return_immediately)
    async with open_watch(http, 0) as lines:
        line = json.loads(await lines.readline())
    assert line == {"version": 0, "bookmark": True}


async def test_closing_the_api_ends_watches(
    http: aiohttp.ClientSession, proxy: Any
) -> None:
    await append(proxy, 1)
    async with open_watch(http, 0) as lines:
        assert await versions(lines, 1) == [1]
        await proxy.api.close()
        assert await lines.read() == b""


async def test_group_rows_are_sent_without_their_token(
    http: aiohttp.ClientSession, proxy: Any
) -> None:
    await proxy.ports.change_log.append_group_row(
        "g", {"group": "g", "term": 1}, lambda row: row is None, "vm-1"
    )
    await proxy.ports.follower.read()
    async with open_watch(http, 0) as lines:
        line = json.loads(await lines.readline())
    assert line["kind"] == "GroupRow"
    assert line["body"] == {"group": "g", "term": 1}
