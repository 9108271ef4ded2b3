"""The OpenAPI description of the resource API."""

import json
from typing import Any

from jackdawcrank_policy.configuration import RESOURCE_KINDS
from jackdawcrank_wire.resources.schema import Schema, resource_schema

TITLE = "jackdawcrank resource API"
ERROR_DESCRIPTIONS = {
    "400": "The request is malformed.",
    "401": "The bearer token is missing or wrong.",
    "404": "There is no such thing.",
    "409": "Refused as things stand; the message says why.",
    "410": "The version is older than the change log reaches.",
    "412": "Somebody else changed the resource; the answer says who and what.",
    "413": "The body is too large.",
    "422": "The resource is not valid; the answer names path and value.",
    "503": "The store does not answer; the answer says whether the change "
    "may have been made.",
}


def openapi_document() -> dict[str, Any]:
    """Return the OpenAPI description as a JSON value."""
    kinds: dict[str, Any] = {}
    for kind in RESOURCE_KINDS:
        kinds.update(kind_paths(str(kind)))
    schemas = {str(kind): resource_schema(kind) for kind in RESOURCE_KINDS}
    return {
        "openapi": "3.1.0",
        "info": {"title": TITLE, "version": "1"},
        "security": [{"bearer": []}],
        "paths": {**kinds, **other_paths()},
        "components": {
            "securitySchemes": {"bearer": {"type": "http", "scheme": "bearer"}},
            "schemas": {**schemas, "Error": error_schema()},
        },
    }


def openapi_text() -> str:
    """Return the OpenAPI description as published in the documentation."""
    return json.dumps(openapi_document(), indent=2) + "\n"


def kind_paths(kind: str) -> dict[str, Any]:
    """Return the paths of one resource kind."""
    name = parameter("name", "path", "string", "The resource's name.")
    if_match = parameter(
        "If-Match", "header", "string", "The resource version to change."
    )
    if_none_match = parameter(
        "If-None-Match", "header", "string", "`*`: create only."
    )
    item = {"$ref": f"#/components/schemas/{kind}"}
    return {
        f"/v1/{kind}": {
            "get": operation(f"List each {kind}.", list_schema(item)),
        },
        f"/v1/{kind}/{{name}}": {
            "get": operation(f"Show one {kind}.", item, "404", [name]),
            "put": {
                **operation(
                    f"Create or change a {kind}. Repeating it is harmless.",
                    {"type": "object"},
                    "400 409 412 413 422 503",
                    [name, if_match, if_none_match],
                ),
                "requestBody": {"required": True, "content": content(item)},
            },
            "delete": operation(
                f"Delete a {kind}.",
                {"type": "object"},
                "400 404 409 412 503",
                [name, if_match],
            ),
        },
    }


def other_paths() -> dict[str, Any]:
    """Return the paths that do not belong to a resource kind."""
    name = parameter("name", "path", "string", "A name.")
    any_object = {"type": "object"}
    promote = operation(
        "Promote a server of a group; the body may name it as `server`.",
        any_object,
        "404 409",
        [name],
    )
    group = parameter("group", "path", "string", "The database group.")
    request_id = parameter("id", "path", "string", "The request id.")
    return {
        "/v1/watch": {"get": watch_operation()},
        "/v1/timeline": {"get": timeline_operation()},
        "/v1/status": {"get": operation("State of this VM.", any_object)},
        "/v1/ready": {
            "get": {
                **operation("Whether to send callers here.", any_object, "503"),
                "security": [],
            }
        },
        "/v1/groups/{name}/promote": {"post": promote},
        "/v1/vms/{name}/drain": {
            "post": operation(
                "Shut a VM down gracefully.", any_object, "404 409 503", [name]
            )
        },
        "/v1/servers/{name}/drain": {
            "post": operation(
                "Declare a backend server as leaving.",
                any_object,
                "404 412 503",
                [name],
            )
        },
        "/v1/requests/{group}/{id}": {
            "get": operation(
                "What became of a caller's request.",
                any_object,
                "404",
                [group, request_id],
            )
        },
        "/v1/openapi.json": {"get": operation("This page.", any_object)},
    }


def watch_operation() -> Schema:
    """Return the operation that streams changes."""
    start = parameter(
        "from",
        "query",
        "integer",
        "Send the changes above this version; absent: the present one.",
    )
    return operation(
        "Stream changes as JSON lines, each version once and in order. A "
        "line with `bookmark` only repeats the version.",
        {"type": "object"},
        "400 410",
        [start],
        "application/x-ndjson",
    )


def timeline_operation() -> Schema:
    """Return the operation that streams events."""
    texts = (
        ("since", "integer", "Send the events above this sequence number."),
        ("boot", "string", "The process that `since` counts; else from 0."),
        ("follow", "string", "Any value: go on with events to come."),
        ("group", "string", "Only events of this database group."),
        ("request", "string", "Only events of this request id."),
        ("after", "number", "Only events from this Unix time on."),
        ("before", "number", "Only events up to this Unix time."),
    )
    parameters = [parameter(n, "query", kind, text) for n, kind, text in texts]
    return operation(
        "Stream this VM's events as JSON lines.",
        {"type": "object"},
        "400",
        parameters,
        "application/x-ndjson",
    )


def operation(
    summary: str,
    answer: Schema,
    errors: str = "",
    parameters: list[Schema] | None = None,
    media_type: str = "application/json",
) -> Schema:
    """Return an operation object.

    Args:
      summary: A summary of the operation.
      answer: The schema of the response body.
      errors: The HTTP status codes of errors, separated by spaces; 401 is
        always included.
      parameters: The parameters of the operation.
      media_type: The media type of the response.
    """
    responses: Schema = {
        "200": {"description": "Done.", "content": content(answer, media_type)}
    }
    for status in ["401", *errors.split()]:
        responses[status] = {
            "description": ERROR_DESCRIPTIONS[status],
            "content": content({"$ref": "#/components/schemas/Error"}),
        }
    operation_object: Schema = {"summary": summary, "responses": responses}
    if parameters:
        operation_object["parameters"] = parameters
    return operation_object


def parameter(name: str, location: str, kind: str, help_text: str) -> Schema:
    """Return a parameter object; path parameters are required."""
    return {
        "name": name,
        "in": location,
        "required": location == "path",
        "description": help_text,
        "schema": {"type": kind},
    }


def content(schema: Schema, media_type: str = "application/json") -> Schema:
    """Return the content object of a request or response body."""
    return {media_type: {"schema": schema}}


def list_schema(item: Schema) -> Schema:
    """Return the schema of a list of resources."""
    return {
        "type": "object",
        "properties": {
            "version": {
                "type": "integer",
                "description": "Watch from here to miss nothing.",
            },
            "items": {"type": "array", "items": item},
        },
    }


def error_schema() -> Schema:
    """Return the schema of an error response."""
    texts = {
        "code": "A word for programs.",
        "message": "What is wrong.",
        "hint": "What to do about it.",
    }
    properties = {
        name: {"type": "string", "description": text}
        for name, text in texts.items()
    }
    error = {
        "type": "object",
        "required": ["code", "message"],
        "properties": properties,
    }
    return {"type": "object", "properties": {"error": error}}


if __name__ == "__main__":
    print(openapi_text(), end="")
