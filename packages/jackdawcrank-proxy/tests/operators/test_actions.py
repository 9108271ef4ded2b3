"""Tests of promotions, drains, questions and the time line over HTTP."""

import json
from typing import Any

import aiohttp
import pytest

from jackdawcrank.store import Appended
from jackdawcrank.store.group_row_codec import encode_group_row
from jackdawcrank_policy.configuration import Kind
from jackdawcrank_policy.values import GroupPhase, GroupRow
from jackdawcrank_wire.events import EventKind


@pytest.fixture(autouse=True)
async def group(proxies: list[Any]) -> None:
    ports = proxies[0].ports
    server = {"group": "g", "host": "10.0.0.1", "port": 3306, "new": 1}
    for kind, name, spec in (
        (Kind.DATABASE_GROUP, "g", {}),
        (Kind.BACKEND_SERVER, "s-1", server),
    ):
        outcome = await ports.change_log.append(
            kind, name, {"spec": spec}, None, "ada"
        )
        assert isinstance(outcome, Appended)
    for proxy in proxies:
        await proxy.ports.follower.read()


async def post(
    http: aiohttp.ClientSession, path: str, body: Any = None
) -> tuple[int, Any]:
    async with http.post(path, json=body) as answer:
        return answer.status, await answer.json()


async def test_a_promotion_is_passed_on_and_a_refusal_told(
    http: aiohttp.ClientSession, proxy: Any
) -> None:
    path = "/v1/groups/g/promote"
    status, answer = await post(http, path, {"server": "s-1"})
    assert (status, answer["term"]) == (200, 2)
    assert proxy.ports.promoted == [("g", "s-1", "ada")]
    status, answer = await post(http, path)
    assert status == 409
    assert answer["error"]["retryAfterMs"] == 500


@pytest.mark.parametrize(
    ("path", "body", "expected"),
    [
        ("/v1/groups/none/promote", None, 404),
        ("/v1/groups/g/promote", {"server": "s-9"}, 404),
        ("/v1/groups/g/promote", {"server": 1}, 400),
        ("/v1/groups/g/promote", [], 400),
        ("/v1/vms/vm-9/drain", None, 404),
        ("/v1/servers/s-9/drain", None, 404),
    ],
)
async def test_a_wrong_target_is_refused(
    http: aiohttp.ClientSession, path: str, body: Any, expected: int
) -> None:
    status, answer = await post(http, path, body)
    assert status == expected
    assert answer["error"]["message"]


async def test_a_drain_reaches_the_vm_it_names(
    http: aiohttp.ClientSession, proxies: list[Any]
) -> None:
    assert (await post(http, "/v1/vms/vm-1/drain"))[0] == 200
    assert (await post(http, "/v1/vms/vm-2/drain"))[0] == 200
    assert [p.ports.drained for p in proxies] == [["ada"], ["ada"]]


async def test_a_vm_that_cannot_be_reached_is_told(
    http: aiohttp.ClientSession, proxies: list[Any]
) -> None:
    await proxies[1].api.close()
    status, answer = await post(http, "/v1/vms/vm-2/drain")
    assert status == 503
    assert "vm-2" in answer["error"]["message"]


async def test_draining_a_server_declares_it_leaving_once(
    http: aiohttp.ClientSession, proxy: Any
) -> None:
    first = await post(http, "/v1/servers/s-1/drain")
    second = await post(http, "/v1/servers/s-1/drain")
    assert first[1]["resourceVersion"] == second[1]["resourceVersion"] == 3
    assert second[1]["changed"] is False
    configuration = proxy.ports.follower.configuration
    assert configuration.servers["s-1"].state == "leaving"
    spec = configuration.entries["BackendServer", "s-1"].document["spec"]
    assert spec["new"] == 1


async def add_row(proxies: list[Any], homes: tuple[str, ...]) -> None:
    row = GroupRow("g", 1, GroupPhase.ACTIVE, "s-1", homes[0], homes)
    log = proxies[0].ports.change_log
    body = encode_group_row(row)
    await log.append_group_row("g", body, lambda present: True, "vm-2")
    for proxy in proxies:
        await proxy.ports.follower.read()


async def test_a_promotion_is_forwarded_to_a_home(
    http: aiohttp.ClientSession, proxies: list[Any]
) -> None:
    await add_row(proxies, ("vm-gone", "vm-2"))
    path = "/v1/groups/g/promote"
    status, answer = await post(http, path, {"server": "s-1"})
    assert (status, answer["term"]) == (200, 2)
    assert proxies[0].ports.promoted == []
    assert proxies[1].ports.promoted == [("g", "s-1", "ada")]
    assert (await post(http, path))[0] == 409


async def test_homes_that_cannot_be_reached_are_told(
    http: aiohttp.ClientSession, proxies: list[Any]
) -> None:
    await add_row(proxies, ("vm-2",))
    await proxies[1].api.close()
    status, answer = await post(http, "/v1/groups/g/promote")
    assert status == 503
    assert "vm-2" in answer["error"]["message"]


async def test_a_leaving_primary_is_replaced_before_it_is_declared(
    http: aiohttp.ClientSession, proxies: list[Any]
) -> None:
    await add_row(proxies, ("vm-1",))
    ports = proxies[0].ports
    assert (await post(http, "/v1/servers/s-1/drain"))[0] == 200
    assert ports.promoted == [("g", None, "ada")]
    assert ports.follower.configuration.servers["s-1"].state == "leaving"


async def test_a_primary_that_is_declared_as_leaving_is_replaced_first(
    http: aiohttp.ClientSession, proxies: list[Any]
) -> None:
    await add_row(proxies, ("vm-1",))
    ports = proxies[0].ports
    path = "/v1/BackendServer/s-1"
    async with http.get(path) as answer:
        document = await answer.json()
    document["spec"] = {"group": "g", "host": "10.0.0.1", "port": 3306}
    async with http.put(path, json=document) as answer:
        assert answer.status == 200
    assert ports.promoted == []
    document["spec"]["state"] = "leaving"
    document["resourceVersion"] = 1
    async with http.put(path, json=document) as answer:
        assert answer.status == 412
    assert ports.promoted == []
    document["resourceVersion"] = ports.follower.version
    async with http.put(path, json=document) as answer:
        assert answer.status == 200
    assert ports.promoted == [("g", None, "ada")]


async def test_a_primary_that_cannot_be_replaced_stays(
    http: aiohttp.ClientSession, proxies: list[Any]
) -> None:
    await add_row(proxies, ("vm-1",))
    ports = proxies[0].ports
    ports.promoted.append(("g", None, "ben"))
    status, answer = await post(http, "/v1/servers/s-1/drain")
    assert status == 409
    assert "under way" in answer["error"]["message"]
    assert ports.follower.configuration.servers["s-1"].state == "serving"


async def test_what_became_of_a_request_is_told(
    http: aiohttp.ClientSession,
) -> None:
    async with http.get("/v1/requests/g/r-1") as answer:
        assert await answer.json() == {"state": "done"}
    for path in ("/v1/requests/g/r-2", "/v1/requests/none/r-1"):
        async with http.get(path) as answer:
            assert answer.status == 404


async def test_the_status_names_vms_and_version(
    http: aiohttp.ClientSession,
) -> None:
    async with http.get("/v1/status") as answer:
        status = await answer.json()
    assert status["configurationVersion"] == 2
    assert [vm["name"] for vm in status["vms"]] == ["vm-1", "vm-2"]


async def events(
    http: aiohttp.ClientSession, **query: str
) -> tuple[list[dict[str, Any]], Any]:
    async with http.get("/v1/timeline", params=query) as answer:
        lines = (await answer.text()).splitlines()
        return [json.loads(line) for line in lines], answer.headers


async def test_the_time_line_is_filtered(
    http: aiohttp.ClientSession, proxy: Any
) -> None:
    timeline = proxy.ports.timeline
    timeline.wall = iter([10.0, 20.0, 30.0]).__next__
    timeline.record(EventKind.LEASE_LOST, "g", 1)
    timeline.record(EventKind.WRITE_UNKNOWN, "g", 1, "r-1")
    timeline.record(EventKind.LEASE_LOST, "h", 1)
    assert len((await events(http))[0]) == 3
    assert len((await events(http, group="g"))[0]) == 2
    assert len((await events(http, request="r-1"))[0]) == 1
    assert len((await events(http, after="15", before="25"))[0]) == 1
    assert len((await events(http, since="2"))[0]) == 1
    assert len((await events(http, since="2", boot="another"))[0]) == 3
    async with http.get("/v1/timeline?since=x") as answer:
        assert answer.status == 400


async def test_lost_events_are_counted(
    http: aiohttp.ClientSession, proxy: Any
) -> None:
    timeline = proxy.ports.timeline
    for _ in range(timeline.events.maxlen + 5):
        timeline.record(EventKind.LEASE_LOST, "g", 1)
    _, headers = await events(http, group="none")
    assert headers["Jackdawcrank-Dropped"] == "5"
    assert headers["Jackdawcrank-Boot"] == "boot-vm-1"


async def test_the_time_line_is_followed_until_shutdown(
    http: aiohttp.ClientSession, proxy: Any
) -> None:
    timeline = proxy.ports.timeline
    timeline.record(EventKind.LEASE_LOST, "g", 1)
    async with http.get("/v1/timeline?follow=1") as answer:
        first = json.loads(await answer.content.readline())
        timeline.record(EventKind.LEASE_GAINED, "g", 2)
        second = json.loads(await answer.content.readline())
        assert (first["sequence"], second["sequence"]) == (1, 2)
        await proxy.api.close()
        assert await answer.content.read() == b""
    assert timeline.subscriptions == []
