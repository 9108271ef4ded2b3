"""Tests of listing, writing and deleting resources over HTTP."""

from typing import Any

import aiohttp
import pytest

from jackdawcrank_standins.platform import Platform, StopMode

GROUP = "/v1/DatabaseGroup/a"
SERVER = "/v1/BackendServer/s-1"


def group(slots: int = 5, name: str = "a", **more: Any) -> dict[str, Any]:
    return {
        "apiVersion": "jackdawcrank/v1",
        "kind": "DatabaseGroup",
        "metadata": {"name": name},
        "spec": {"slotsPerServer": slots},
        **more,
    }


def server(group_name: str = "a") -> dict[str, Any]:
    return {
        "apiVersion": "jackdawcrank/v1",
        "kind": "BackendServer",
        "metadata": {"name": "s-1"},
        "spec": {"group": group_name, "host": "10.0.0.1", "port": 3306},
    }


async def put(
    http: aiohttp.ClientSession,
    path: str,
    document: Any,
    **headers: str,
) -> tuple[int, Any]:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    async with http.put(path, json=document, headers=named) as response:
        return response.status, await response.json()


async def get(http: aiohttp.ClientSession, path: str) -> tuple[int, Any]:
    async with http.get(path) as response:
        return response.status, await response.json()


async def test_resource_is_created_returned_and_listed(
    http: aiohttp.ClientSession,
) -> None:
    status, created = await put(http, GROUP, group(3))
    assert (status, created["resourceVersion"]) == (200, 1)
    assert created["changed"]
    async with http.get(GROUP) as response:
        shown = await response.json()
        assert response.headers["ETag"] == '"1"'
    assert shown["spec"]["slotsPerServer"] == 3
    assert shown["status"]["changedBy"] == "ada"
    _, listing = await get(http, "/v1/DatabaseGroup")
    assert listing == {"version": 1, "items": [shown]}


async def test_repeated_put_changes_nothing(
    http: aiohttp.ClientSession,
) -> None:
    first = await put(http, GROUP, group(3), If_None_Match="*")
    second = await put(http, GROUP, group(3), If_None_Match="*")
    assert first[1]["resourceVersion"] == second[1]["resourceVersion"] == 1
    assert (second[0], second[1]["changed"]) == (200, False)


async def test_put_is_applied_once_when_the_store_response_is_lost(
    http: aiohttp.ClientSession, platform: Platform
) -> None:
    platform.faults.lose_answers = 1
    status, created = await put(http, GROUP, group(3))
    assert (status, created["resourceVersion"]) == (200, 1)
    rows, _ = platform.tables.scan("changes", "", 10)
    assert len(rows) == 1


async def test_conflicting_put_reports_the_other_change(
    http: aiohttp.ClientSession, other_http: aiohttp.ClientSession
) -> None:
    await put(http, GROUP, group(3))
    status, _ = await put(other_http, GROUP, group(4), If_Match='"1"')
    assert status == 200
    status, refusal = await put(http, GROUP, group(5), If_Match='"1"')
    assert status == 412
    error = refusal["error"]
    assert error["changedBy"] == "ben"
    assert error["resourceVersion"] == 2
    assert error["changed"] == [
        {"path": "spec.slotsPerServer", "from": 3, "to": 4}
    ]
    assert error["current"]["slotsPerServer"] == 4


async def test_resource_version_in_the_document_is_checked(
    http: aiohttp.ClientSession,
) -> None:
    await put(http, GROUP, group(3))
    await put(http, GROUP, group(4))
    status, _ = await put(http, GROUP, group(5, resourceVersion=1))
    assert status == 412
    status, _ = await put(http, GROUP, group(5, resourceVersion=2))
    assert status == 200


@pytest.mark.parametrize(
    ("document", "status", "word"),
    [
        (group(0), 422, "at least 1"),
        (group(name="b"), 400, "the body is DatabaseGroup b"),
        (server(), 400, "the body is BackendServer s-1"),
        ([], 422, "must be an object"),
    ],
)
async def test_invalid_document_is_refused(
    http: aiohttp.ClientSession, document: Any, status: int, word: str
) -> None:
    actual_status, refusal = await put(http, GROUP, document)
    assert actual_status == status
    assert word in str(refusal)


async def test_malformed_or_oversized_body_is_refused(
    http: aiohttp.ClientSession,
) -> None:
    async with http.put(GROUP, data=b"{") as response:
        assert response.status == 400
    async with http.put(GROUP, data=b" " * 70_000) as response:
        assert response.status == 413


async def test_malformed_if_match_is_refused(
    http: aiohttp.ClientSession,
) -> None:
    status, _ = await put(http, GROUP, group(), If_Match="abc")
    assert status == 400


async def test_server_requires_its_group_and_blocks_its_deletion(
    http: aiohttp.ClientSession,
) -> None:
    status, refusal = await put(http, SERVER, server())
    assert status == 409
    assert "apply the DatabaseGroup a first" in refusal["error"]["hint"]
    await put(http, GROUP, group())
    assert (await put(http, SERVER, server()))[0] == 200
    async with http.delete(GROUP) as response:
        assert response.status == 409
        assert "s-1" in await response.text()
    for path in (SERVER, GROUP):
        async with http.delete(path) as response:
            assert response.status == 200
    assert (await get(http, GROUP))[0] == 404


async def test_row_of_another_release_is_returned_with_all_keys(
    http: aiohttp.ClientSession, proxy: Any
) -> None:
    spec = {"slotsPerServer": 3, "newer": 1}
    await proxy.ports.change_log.append(
        "DatabaseGroup", "a", {"spec": spec}, 0, "ada"
    )
    await proxy.ports.follower.read()
    shown = (await get(http, GROUP))[1]["spec"]
    assert shown["slotsPerServer"] == 3
    assert shown["newer"] == 1
    assert shown["connectionLimit"] == 80


async def test_group_just_applied_through_another_proxy_is_found(
    http: aiohttp.ClientSession, other_http: aiohttp.ClientSession
) -> None:
    await put(other_http, GROUP, group())
    assert (await put(http, SERVER, server()))[0] == 200


async def test_deletion_of_an_old_version_is_refused(
    http: aiohttp.ClientSession,
) -> None:
    await put(http, GROUP, group(3))
    await put(http, GROUP, group(4))
    async with http.delete(GROUP, headers={"If-Match": '"1"'}) as response:
        assert response.status == 412
    assert (await get(http, GROUP))[0] == 200


async def test_store_outage_reports_that_nothing_changed(
    http: aiohttp.ClientSession, platform: Platform
) -> None:
    await put(http, GROUP, group(3))
    platform.faults.stop(StopMode.REFUSE)
    status, refusal = await put(http, GROUP, group(4))
    assert status == 503
    assert refusal["error"]["maybeApplied"] is False
    assert (await get(http, GROUP))[1]["spec"]["slotsPerServer"] == 3


@pytest.mark.parametrize("token", ["", "Bearer", "Bearer x", "Basic plain"])
async def test_invalid_token_is_refused(
    http: aiohttp.ClientSession, token: str
) -> None:
    headers = {"Authorization": token}
    for path in (GROUP, "/v1/status", "/v1/watch", "/nowhere"):
        async with http.get(path, headers=headers) as response:
            assert response.status == 401
            assert response.headers["WWW-Authenticate"] == "Bearer"


async def test_readiness_needs_no_token(
    http: aiohttp.ClientSession, proxy: Any
) -> None:
    headers = {"Authorization": ""}
    async with http.get("/v1/ready", headers=headers) as response:
        assert response.status == 200
    proxy.ports.is_ready = False
    async with http.get("/v1/ready", headers=headers) as response:
        assert response.status == 503


async def test_openapi_document_lists_the_resource_paths(
    http: aiohttp.ClientSession,
) -> None:
    status, document = await get(http, "/v1/openapi.json")
    assert status == 200
    assert GROUP.rsplit("/", 1)[0] in document["paths"]
