"""Writes of resources to the change log."""

import asyncio
import functools
from collections.abc import Mapping
from typing import Any

import attrs
from aiohttp import web

from jackdawcrank.operators.documents import differences, resource_view
from jackdawcrank.operators.error_responses import (
    CONFLICT,
    PRECONDITION_FAILED,
    error_response,
    not_found_response,
    store_unavailable_response,
)
from jackdawcrank.operators.ports import OperatorPorts
from jackdawcrank.store import (
    Appended,
    ChangeConflict,
    StoreUnavailable,
    Unchanged,
)
from jackdawcrank.store.change_reader import read_change
from jackdawcrank_policy.configuration import Change, Configuration, Kind
from jackdawcrank_wire.events import EventKind
from jackdawcrank_wire.resources import (
    BackendServerSpec,
    Resource,
    to_json_value,
)

LOCAL_APPLY_TIMEOUT_SECONDS = 2.0


@attrs.frozen
class WriteRequest:
    """A write requested by an operator.

    Attributes:
      kind: The resource's kind.
      name: Its name.
      body: The new row; None deletes the resource.
      expected: The required version; 0 if the resource must not exist, None
        for any.
      actor: The operator who sent the request.
    """

    kind: Kind
    name: str
    body: Mapping[str, Any] | None
    expected: int | None
    actor: str


async def write(ports: OperatorPorts, request: WriteRequest) -> web.Response:
    """Append a change and respond once this proxy has applied it."""
    outcome = await ports.change_log.append(
        request.kind,
        request.name,
        request.body,
        request.expected,
        request.actor,
    )
    return await write_response(outcome, ports, request)


@functools.singledispatch
async def write_response(
    outcome: object, ports: OperatorPorts, request: WriteRequest
) -> web.Response:
    """Return the HTTP response for the outcome of a write."""
    raise TypeError(f"unsupported write outcome: {outcome!r}")


@write_response.register
async def appended_response(
    outcome: Appended, ports: OperatorPorts, request: WriteRequest
) -> web.Response:
    """Return the response to a change that was appended."""
    ports.timeline.record(
        EventKind.CONFIG_APPLIED,
        config_version=outcome.version,
        resource=f"{request.kind}/{request.name}",
        actor=request.actor,
    )
    await wait_until_applied(ports, outcome.version)
    return success_response(
        request, outcome.version, request.actor, changed=True
    )


@write_response.register
async def unchanged_response(
    outcome: Unchanged, ports: OperatorPorts, request: WriteRequest
) -> web.Response:
    """Return the response to a change that was already in the log."""
    await wait_until_applied(ports, outcome.version)
    return success_response(
        request, outcome.version, outcome.actor, changed=False
    )


@write_response.register
async def conflict_response(
    outcome: ChangeConflict, ports: OperatorPorts, request: WriteRequest
) -> web.Response:
    """Return the response to a conflict, with the other change."""
    ports.timeline.record(
        EventKind.CONFIG_CONFLICT,
        resource=f"{request.kind}/{request.name}",
        actor=request.actor,
        changed_by=outcome.actor,
    )
    label = f"{request.kind} {request.name}"
    if outcome.current is None:
        return error_response(
            PRECONDITION_FAILED,
            "conflict",
            f"{label} does not exist any more, or not yet",
            "read it again, then apply without a version",
            resourceVersion=0,
        )
    changed = await changed_since(ports, request, outcome)
    author = outcome.actor or "somebody"
    return error_response(
        PRECONDITION_FAILED,
        "conflict",
        f"{label} was changed by {author} to version {outcome.version}",
        "read the new version, merge your change into it, then apply again",
        changedBy=outcome.actor,
        changedAt=outcome.at,
        resourceVersion=outcome.version,
        changed=changed,
        current=outcome.current.get("spec", {}),
    )


@write_response.register
async def unavailable_write_response(
    outcome: StoreUnavailable, ports: OperatorPorts, request: WriteRequest
) -> web.Response:
    """Return the response to a write that the store did not confirm."""
    return store_unavailable_response(outcome.maybe_applied, outcome.detail)


async def changed_since(
    ports: OperatorPorts, request: WriteRequest, conflict: ChangeConflict
) -> list[dict[str, Any]]:
    """Return the differences from the version that the writer expected."""
    if not request.expected or conflict.current is None:
        return []
    base = await read_change(ports.store, request.expected)
    if not isinstance(base, Change) or base.name != request.name:
        return []
    before = base.document.get("spec", {})
    return list(differences(before, conflict.current.get("spec", {})))


async def wait_until_applied(ports: OperatorPorts, version: int) -> None:
    """Wait for a version, so that the next read here returns it.

    Returns after LOCAL_APPLY_TIMEOUT_SECONDS even without the version.
    """
    try:
        async with asyncio.timeout(LOCAL_APPLY_TIMEOUT_SECONDS):
            await ports.follower.read_up_to(version)
    except TimeoutError:
        return


def success_response(
    request: WriteRequest, version: int, actor: str, changed: bool
) -> web.Response:
    """Return the response to a successful write."""
    document: dict[str, Any] = {
        "kind": str(request.kind),
        "metadata": {"name": request.name},
        "resourceVersion": version,
        "changed": changed,
        "changedBy": actor,
    }
    if request.body is None:
        document["deleted"] = True
    else:
        document["spec"] = request.body["spec"]
    headers = {"ETag": f'"{version}"'}
    return web.json_response(document, headers=headers)


def row_body(resource: Resource) -> dict[str, Any]:
    """Return the row to store for a resource, without its version."""
    return {"spec": to_json_value(resource.spec)}


def missing_reference(
    resource: Resource, configuration: Configuration
) -> web.Response | None:
    """Return an error response if a server's group does not exist."""
    spec = resource.spec
    if not isinstance(spec, BackendServerSpec):
        return None
    if spec.group in configuration.groups:
        return None
    return error_response(
        CONFLICT,
        "missing_reference",
        f"spec.group: there is no DatabaseGroup {spec.group}",
        f"apply the DatabaseGroup {spec.group} first",
    )


def still_referenced(
    kind: Kind, name: str, configuration: Configuration
) -> web.Response | None:
    """Return an error response if a group still has servers."""
    if kind is not Kind.DATABASE_GROUP:
        return None
    servers = [server.name for server in configuration.servers_of(name)]
    if not servers:
        return None
    return error_response(
        CONFLICT,
        "still_referenced",
        f"DatabaseGroup {name} has the servers {', '.join(servers)}",
        "delete these BackendServers first",
    )


def resource_response(
    ports: OperatorPorts, kind: Kind, name: str
) -> web.Response:
    """Return the response with a resource."""
    entry = ports.follower.configuration.entries.get((kind, name))
    if entry is None:
        hint = f"jackdawcrankctl get {kind} lists what there is"
        return not_found_response(f"{kind} {name}", hint)
    status = ports.resource_status(kind, name)
    document = resource_view(kind, name, entry, status)
    headers = {"ETag": f'"{entry.version}"'}
    return web.json_response(document, headers=headers)
