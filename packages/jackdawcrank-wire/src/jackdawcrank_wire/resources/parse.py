"""Converts resources to and from JSON documents."""

from typing import Any

from jackdawcrank_policy.configuration import RESOURCE_KINDS, Kind
from jackdawcrank_wire.resources.converter import to_json_value
from jackdawcrank_wire.resources.metadata import API_VERSION, Metadata
from jackdawcrank_wire.resources.problem import Invalid, Problem
from jackdawcrank_wire.resources.resource import SPEC_CLASSES, Resource
from jackdawcrank_wire.resources.validate import structure_validated

KNOWN_KEYS = (
    "apiVersion",
    "kind",
    "metadata",
    "spec",
    "status",
    "resourceVersion",
)


def parse_resource(document: Any) -> Resource | Invalid:
    """Return the resource in a JSON document, or its validation errors.

    Args:
      document: The decoded JSON value; its `status` is ignored.
    """
    if not isinstance(document, dict):
        return Invalid((Problem("$", "must be an object", document),))
    outer = document_problems(document)
    kind = kind_from_name(document.get("kind"))
    if kind is None:
        names = ", ".join(RESOURCE_KINDS)
        message = f"must be one of {names}"
        unknown_kind = Problem("kind", message, document.get("kind"))
        return Invalid((*outer, unknown_kind))
    metadata = structure_validated(
        document.get("metadata", {}), Metadata, "metadata"
    )
    spec = structure_validated(
        document.get("spec", {}), SPEC_CLASSES[kind], "spec"
    )
    parts = (p for p in (metadata, spec) if isinstance(p, Invalid))
    inner = tuple(problem for part in parts for problem in part.problems)
    if outer or isinstance(metadata, Invalid) or isinstance(spec, Invalid):
        return Invalid((*outer, *inner))
    version = document.get("resourceVersion")
    return Resource(kind, metadata, spec, {}, version)


def document_problems(document: dict[str, Any]) -> tuple[Problem, ...]:
    """Return the problems of the top-level keys of a document."""
    key_problems = [
        Problem(name, "is not a known key")
        for name in document
        if name not in KNOWN_KEYS
    ]
    api_version = document.get("apiVersion")
    if api_version != API_VERSION:
        message = f"must be {API_VERSION}"
        key_problems.append(Problem("apiVersion", message, api_version))
    version = document.get("resourceVersion")
    if version is not None and type(version) is not int:
        message = "must be a whole number"
        key_problems.append(Problem("resourceVersion", message, version))
    return tuple(key_problems)


def kind_from_name(name: Any) -> Kind | None:
    """Return the resource kind with a name; None if the name is unknown."""
    return next((kind for kind in RESOURCE_KINDS if kind == name), None)


def resource_document(resource: Resource) -> dict[str, Any]:
    """Return the JSON document of a resource."""
    document: dict[str, Any] = {
        "apiVersion": API_VERSION,
        "kind": str(resource.kind),
        "metadata": to_json_value(resource.metadata),
        "spec": to_json_value(resource.spec),
    }
    if resource.status:
        document["status"] = dict(resource.status)
    if resource.resource_version is not None:
        document["resourceVersion"] = resource.resource_version
    return document
