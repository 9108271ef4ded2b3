"""Handlers to list, get, put and delete resources."""

from aiohttp import web

from jackdawcrank.operators.auth import ACTOR
from jackdawcrank.operators.bodies import json_body
from jackdawcrank.operators.documents import resource_view
from jackdawcrank.operators.error_responses import (
    BAD_REQUEST,
    error_response,
    invalid_resource_response,
    not_found_response,
)
from jackdawcrank.operators.ports import OperatorPorts
from jackdawcrank.operators.preconditions import (
    MalformedPrecondition,
    expected_version,
)
from jackdawcrank.operators.promotions import replace_leaving_primary
from jackdawcrank.operators.writes import (
    WriteRequest,
    missing_reference,
    resource_response,
    row_body,
    still_referenced,
    write,
)
from jackdawcrank_policy.configuration import Kind
from jackdawcrank_policy.values import ServerState
from jackdawcrank_wire.resources import (
    BackendServerSpec,
    Invalid,
    Resource,
    kind_from_name,
    parse_resource,
)


class ResourceHandlers:
    """Serves resources from the configuration in force on this proxy."""

    def __init__(self, ports: OperatorPorts) -> None:
        self.ports = ports

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that this class serves."""
        kinds = "DatabaseGroup|BackendServer|CallerClass"
        collection = f"/v1/{{kind:{kinds}}}"
        return [
            web.get(collection, self.list),
            web.get(f"{collection}/{{name}}", self.get),
            web.put(f"{collection}/{{name}}", self.put),
            web.delete(f"{collection}/{{name}}", self.delete),
        ]

    async def list(self, request: web.Request) -> web.Response:
        """List the resources of a kind."""
        kind = request.match_info["kind"]
        configuration = self.ports.follower.configuration
        items = [
            resource_view(
                kind, name, entry, self.ports.resource_status(kind, name)
            )
            for (entry_kind, name), entry in sorted(
                configuration.entries.items()
            )
            if entry_kind == kind
        ]
        body = {"version": configuration.version, "items": items}
        return web.json_response(body)

    async def get(self, request: web.Request) -> web.Response:
        """Return one resource."""
        kind, name = identity(request)
        return resource_response(self.ports, kind, name)

    async def put(self, request: web.Request) -> web.Response:
        """Create or update a resource."""
        kind, name = identity(request)
        document = await json_body(request)
        if isinstance(document, web.Response):
            return document
        resource = parse_resource(document)
        if isinstance(resource, Invalid):
            return invalid_resource_response(resource.problems)
        if (resource.kind, resource.name) != (kind, name):
            message = f"the body is {resource.kind} {resource.name}"
            return error_response(BAD_REQUEST, "wrong_path", message)
        expected = expected_version(request, document)
        if isinstance(expected, MalformedPrecondition):
            return error_response(BAD_REQUEST, "malformed", expected.detail)
        follower = self.ports.follower
        if missing_reference(resource, follower.configuration) is not None:
            await follower.read()
        refusal = missing_reference(resource, follower.configuration)
        if refusal is not None:
            return refusal
        entry = follower.configuration.entries.get((kind, name))
        current_version = entry.version if entry is not None else 0
        version_matches = expected.version in (None, current_version)
        if version_matches and declares_leaving(resource):
            refusal = await replace_leaving_primary(self.ports, request, name)
            if refusal is not None:
                return refusal
        body = row_body(resource)
        change = WriteRequest(
            kind, name, body, expected.version, request[ACTOR]
        )
        return await write(self.ports, change)

    async def delete(self, request: web.Request) -> web.Response:
        """Delete a resource."""
        kind, name = identity(request)
        expected = expected_version(request)
        if isinstance(expected, MalformedPrecondition):
            return error_response(BAD_REQUEST, "malformed", expected.detail)
        await self.ports.follower.read()
        configuration = self.ports.follower.configuration
        if (kind, name) not in configuration.entries:
            return not_found_response(f"{kind} {name}")
        refusal = still_referenced(kind, name, configuration)
        if refusal is not None:
            return refusal
        deletion = WriteRequest(
            kind, name, None, expected.version, request[ACTOR]
        )
        return await write(self.ports, deletion)


def declares_leaving(resource: Resource) -> bool:
    """Return whether a resource is a backend server in state leaving."""
    spec = resource.spec
    if not isinstance(spec, BackendServerSpec):
        return False
    return spec.state == ServerState.LEAVING


def identity(request: web.Request) -> tuple[Kind, str]:
    """Return the kind and name in a request's path."""
    kind = kind_from_name(request.match_info["kind"])
    assert kind is not None, "the route admits only known kinds"
    return kind, request.match_info["name"]
