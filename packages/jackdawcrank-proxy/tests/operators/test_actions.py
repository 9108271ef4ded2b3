"""Tests of promotions, drains, request outcomes and the timeline."""

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
    async with http.post(path, json=body) as response:
        return response.status, await response.json()


async def test_promotion_and_its_refusal_are_reported(
    http: aiohttp.ClientSession, proxy: Any
) -> None:
    path = "/v1/groups/g/promote"
    status, response = await post(http, path, {"server": "s-1"})
    assert (status, response["term"]) == (200, 2)
    assert proxy.ports.promoted == [("g", "s-1", "ada")]
    status, response = await post(http, path)
    assert status == 409
    assert response["error"]["retryAfterMs"] == 500


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
async def test_invalid_action_target_is_refused(
    http: aiohttp.ClientSession, path: str, body: Any, expected: int
) -> None:
    status, response = await post(http, path, body)
    assert status == expected
    assert response["error"]["message"]


async def test_drain_reaches_the_named_vm(
    http: aiohttp.ClientSession, proxies: list[Any]
) -> None:
    assert (await post(http, "/v1/vms/vm-1/drain"))[0] == 200
    assert (await post(http, "/v1/vms/vm-2/drain"))[0] == 200
    assert [p.ports.drained for p in proxies] == [["ada"], ["ada"]]


async def test_unreachable_vm_is_reported(
    http: aiohttp.ClientSession, proxies: list[Any]
) -> None:
    await proxies[1].api.close()
    status, response = await post(http, "/v1/vms/vm-2/drain")
    assert status == 503
    assert "vm-2" in response["error"]["message"]


async def test_draining_a_server_twice_changes_it_once(
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


async def test_promotion_is_forwarded_to_a_reachable_home(
    http: aiohttp.ClientSession, proxies: list[Any]
) -> None:
    await add_row(proxies, ("vm-gone", "vm-2"))
    path = "/v1/groups/g/promote"
    status, response = await post(http, path, {"server": "s-1"})
    assert (status, response["term"]) == (200, 2)
    assert proxies[0].ports.promoted == []
    assert proxies[1].ports.promoted == [("g", "s-1", "ada")]
    assert (await post(http, path))[0] == 409


async def test_unreachable_homes_are_reported(
    http: aiohttp.ClientSession, proxies: list[Any]
) -> None:
    await add_row(proxies, ("vm-2",))
    await proxies[1].api.close()
    status, response = await post(http, "/v1/groups/g/promote")
    assert status == 503
    assert "vm-2" in response["error"]["message"]


async def test_drained_primary_is_replaced_before_its_state_changes(
    http: aiohttp.ClientSession, proxies: list[Any]
) -> None:
    await add_row(proxies, ("vm-1",))
    ports = proxies[0].ports
    assert (await post(http, "/v1/servers/s-1/drain"))[0] == 200
    assert ports.promoted == [("g", None, "ada")]
    assert ports.follower.configuration.servers["s-1"].state == "leaving"


async def test_put_of_leaving_state_replaces_the_primary_first(
    http: aiohttp.ClientSession, proxies: list[Any]
) -> None:
    await add_row(proxies, ("vm-1",))
    ports = proxies[0].ports
    path = "/v1/BackendServer/s-1"
    async with http.get(path) as response:
        document = await response.json()
    document["spec"] = {"group": "g", "host": "10.0.0.1", "port": 3306}
    async with http.put(path, json=document) as response:
        assert response.status == 200
    assert ports.promoted == []
    document["spec"]["state"] = "leaving"
    document["resourceVersion"] = 1
    async with http.put(path, json=document) as response:
        assert response.status == 412
    assert ports.promoted == []
    document["resourceVersion"] = ports.follower.version
    async with http.put(path, json=document) as response:
        assert response.status == 200
    assert ports.promoted == [("g", None, "ada")]


async def test_primary_that_cannot_be_replaced_keeps_serving(
    http: aiohttp.ClientSession, proxies: list[Any]
) -> None:
    await add_row(proxies, ("vm-1",))
    ports = proxies[0].ports
    ports.promoted.append(("g", None, "ben"))
    status, response = await post(http, "/v1/servers/s-1/drain")
    assert status == 409
    assert "under way" in response["error"]["message"]
    assert ports.follower.configuration.servers["s-1"].state == "serving"


async def test_request_outcome_is_returned(
    http: aiohttp.ClientSession,
) -> None:
    async with http.get("/v1/requests/g/r-1") as response:
        assert await response.json() == {"state": "done"}
    for path in ("/v1/requests/g/r-2", "/v1/requests/none/r-1"):
        async with http.get(path) as response:
            assert response.status == 404


async def test_status_lists_vms_and_configuration_version(
    http: aiohttp.ClientSession,
) -> None:
    async with http.get("/v1/status") as response:
        status = await response.json()
    assert status["configurationVersion"] == 2
    assert [vm["name"] for vm in status["vms"]] == ["vm-1", "vm-2"]


async def events(
    http: aiohttp.ClientSession, **query: str
) -> tuple[list[dict[str, Any]], Any]:
    async with http.get("/v1/timeline", params=query) as response:
        lines = (await response.text()).splitlines()
        return [json.loads(line) for line in lines], response.headers


async def test_timeline_is_filtered(
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
    async with http.get("/v1/timeline?since=x") as response:
        assert response.status == 400


async def test_dropped_timeline_events_are_counted(
    http: aiohttp.ClientSession, proxy: Any
) -> None:
    timeline = proxy.ports.timeline
    for _ in range(timeline.events.maxlen + 5):
        timeline.record(EventKind.LEASE_LOST, "g", 1)
    _, headers = await events(http, group="none")
    assert headers["Jackdawcrank-Dropped"] == "5"
    assert headers["Jackdawcrank-Boot"] == "boot-vm-1"


async def test_timeline_is_followed_until_shutdown(
    http: aiohttp.ClientSession, proxy: Any
) -> None:
    timeline = proxy.ports.timeline
    timeline.record(EventKind.LEASE_LOST, "g", 1)
    async with http.get("/v1/timeline?follow=1") as response:
        first = json.loads(await response.content.readline())
        timeline.record(EventKind.LEASE_GAINED, "g", 2)
        second = json.loads(await response.content.readline())
        assert (first["sequence"], second["sequence"]) == (1, 2)
        await proxy.api.close()
        assert await response.content.read() == b""
    assert timeline.subscriptions == []
