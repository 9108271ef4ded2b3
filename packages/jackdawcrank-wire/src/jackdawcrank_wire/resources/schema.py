"""JSON schemas of the resource classes."""

import typing
from typing import Any

import attrs

from jackdawcrank_policy.configuration import Kind
from jackdawcrank_wire.resources.declare import camel_case
from jackdawcrank_wire.resources.metadata import API_VERSION, Metadata
from jackdawcrank_wire.resources.resource import SPEC_CLASSES

Schema = dict[str, Any]

TYPE_SCHEMAS: dict[Any, Schema] = {
    str: {"type": "string"},
    int: {"type": "integer"},
    bool: {"type": "boolean"},
    int | None: {"type": ["integer", "null"]},
    tuple[str, ...]: {"type": "array", "items": {"type": "string"}},
}
SCHEMA_KEYWORDS = (
    ("minimum", "minimum"),
    ("maximum", "maximum"),
    ("pattern", "pattern"),
    ("choices", "enum"),
)


def resource_schema(kind: Kind) -> Schema:
    """Return the JSON schema of a resource kind."""
    properties = {
        "apiVersion": {"const": API_VERSION},
        "kind": {"const": str(kind)},
        "metadata": declared_schema(Metadata),
        "spec": declared_schema(SPEC_CLASSES[kind]),
        "status": {
            "type": "object",
            "description": "What the system says; ignored in what is sent.",
        },
        "resourceVersion": {
            "type": "integer",
            "description": "The version of the resource's newest change.",
        },
    }
    return {
        "type": "object",
        "additionalProperties": False,
        "required": ["apiVersion", "kind", "metadata", "spec"],
        "properties": properties,
    }


def declared_schema(declared: type[Any]) -> Schema:
    """Return the JSON schema of a spec or metadata class."""
    types = typing.get_type_hints(declared)
    fields = attrs.fields(declared)
    schema: Schema = {
        "type": "object",
        "additionalProperties": False,
        "properties": {
            camel_case(field.name): key_schema(field, types[field.name])
            for field in fields
        },
    }
    required = [
        camel_case(field.name)
        for field in fields
        if field.default is attrs.NOTHING
    ]
    if required:
        schema["required"] = required
    return schema


def key_schema(field: "attrs.Attribute[Any]", annotation: Any) -> Schema:
    """Return the JSON schema of a declared key."""
    schema: Schema = {
        **TYPE_SCHEMAS[annotation],
        "description": field.metadata["help"],
    }
    for name, keyword in SCHEMA_KEYWORDS:
        bound = field.metadata[name]
        if bound not in (None, ()):
            schema[keyword] = list(bound) if name == "choices" else bound
    if field.default is not attrs.NOTHING:
        default = field.default
        schema["default"] = list(default) if default == () else default
    return schema
