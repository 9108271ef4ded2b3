"""Tests of listing, changing and deleting resources over HTTP."""

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
    async with http.put(path, json=document, headers=named) as answer:
        return answer.status, await answer.json()


async def get(http: aiohttp.ClientSession, path: str) -> tuple[int, Any]:
    async with http.get(path) as answer:
        return answer.status, await answer.json()


async def test_a_resource_is_created_shown_and_listed(
    http: aiohttp.ClientSession,
) -> None:
    status, made = await put(http, GROUP, group(3))
    assert (status, made["resourceVersion"]) == (200, 1)
    assert made["changed"]
    async with http.get(GROUP) as answer:
        shown = await answer.json()
        assert answer.headers["ETag"] == '"1"'
    assert shown["spec"]["slotsPerServer"] == 3
    assert shown["status"]["changedBy"] == "ada"
    _, listed = await get(http, "/v1/DatabaseGroup")
    assert listed == {"version": 1, "items": [shown]}


async def test_a_repeated_put_is_recognized(
    http: aiohttp.ClientSession,
) -> None:
    first = await put(http, GROUP, group(3), If_None_Match="*")
    second = await put(http, GROUP, group(3), If_None_Match="*")
    assert first[1]["resourceVersion"] == second[1]["resourceVersion"] == 1
    assert (second[0], second[1]["changed"]) == (200, False)


async def test_a_put_whose_answer_the_store_lost_is_made_once(
    http: aiohttp.ClientSession, platform: Platform
) -> None:
    platform.faults.lose_answers = 1
    status, made = await put(http, GROUP, group(3))
    assert (status, made["resourceVersion"]) == (200, 1)
    rows, _ = platform.tables.scan("changes", "", 10)
    assert len(rows) == 1


async def test_the_loser_of_a_race_is_told_who_and_what(
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


async def test_the_version_in_the_document_counts(
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
async def test_a_bad_document_is_refused(
    http: aiohttp.ClientSession, document: Any, status: int, word: str
) -> None:
    found, refusal = await put(http, GROUP, document)
    assert found == status
    assert word in str(refusal)


async def test_a_body_that_is_no_json_or_too_large_is_refused(
    http: aiohttp.ClientSession,
) -> None:
    async with http.put(GROUP, data=b"{") as answer:
        assert answer.status == 400
    async with http.put(GROUP, data=b" " * 70_000) as answer:
        assert answer.status == 413


async def test_a_condition_that_is_no_version_is_refused(
    http: aiohttp.ClientSession,
) -> None:
    status, _ = await put(http, GROUP, group(), If_Match="abc")
    assert status == 400


async def test_a_server_needs_its_group_and_keeps_it(
    http: aiohttp.ClientSession,
) -> None:
    status, refusal = await put(http, SERVER, server())
    assert status == 409
    assert "apply the DatabaseGroup a first" in refusal["error"]["hint"]
    await put(http, GROUP, group())
    assert (await put(http, SERVER, server()))[0] == 200
    async with http.delete(GROUP) as answer:
        assert answer.status == 409
        assert "s-1" in await answer.text()
    for path in (SERVER, GROUP):
        async with http.delete(path) as answer:
            assert answer.status == 200
    assert (await get(http, GROUP))[0] == 404


async def test_a_row_of_another_release_is_shown_with_all_keys(
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


async def test_a_group_applied_elsewhere_a_moment_ago_is_found(
    http: aiohttp.ClientSession, other_http: aiohttp.ClientSession
) -> None:
    await put(other_http, GROUP, group())
    assert (await put(http, SERVER, server()))[0] == 200


async def test_a_deletion_of_another_version_is_refused(
    http: aiohttp.ClientSession,
) -> None:
    await put(http, GROUP, group(3))
    await put(http, GROUP, group(4))
    async with http.delete(GROUP, headers={"If-Match": '"1"'}) as answer:
        assert answer.status == 412
    assert (await get(http, GROUP))[0] == 200


async def test_an_outage_says_that_nothing_was_changed(
    http: aiohttp.ClientSession, platform: Platform
) -> None:
    await put(http, GROUP, group(3))
    platform.faults.stop(StopMode.REFUSE)
    status, refusal = await put(http, GROUP, group(4))
    assert status == 503
    assert refusal["error"]["maybeApplied"] is False
    assert (await get(http, GROUP))[1]["spec"]["slotsPerServer"] == 3


@pytest.mark.parametrize("token", ["", "Bearer", "Bearer x", "Basic plain"])
async def test_a_wrong_token_is_refused(
    http: aiohttp.ClientSession, token: str
) -> None:
    headers = {"Authorization": token}
    for path in (GROUP, "/v1/status", "/v1/watch", "/nowhere"):
        async with http.get(path, headers=headers) as answer:
            assert answer.status == 401
            assert answer.headers["WWW-Authenticate"] == "Bearer"


async def test_the_balancer_needs_no_token(
    http: aiohttp.ClientSession, proxy: Any
) -> None:
    headers = {"Authorization": ""}
    async with http.get("/v1/ready", headers=headers) as answer:
        assert answer.status == 200
    proxy.ports.is_ready = False
    async with http.get("/v1/ready", headers=headers) as answer:
        assert answer.status == 503


async def test_the_api_describes_itself(http: aiohttp.ClientSession) -> None:
    status, document = await get(http, "/v1/openapi.json")
    assert status == 200
    assert GROUP.rsplit("/", 1)[0] in document["paths"]
