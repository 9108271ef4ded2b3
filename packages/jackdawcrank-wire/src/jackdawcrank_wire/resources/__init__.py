"""Configuration resources that operators declare."""

from jackdawcrank_wire.resources.backend_server import BackendServerSpec
from jackdawcrank_wire.resources.caller_class import CallerClassSpec
from jackdawcrank_wire.resources.convert import policy_value
from jackdawcrank_wire.resources.converter import to_json_value
from jackdawcrank_wire.resources.database_group import DatabaseGroupSpec
from jackdawcrank_wire.resources.metadata import API_VERSION, Metadata
from jackdawcrank_wire.resources.parse import (
    kind_from_name,
    parse_resource,
    resource_document,
)
from jackdawcrank_wire.resources.problem import Invalid, Problem
from jackdawcrank_wire.resources.resource import Resource, Spec
from jackdawcrank_wire.resources.stored import stored_policy_value, stored_spec

__all__ = [
    "API_VERSION",
    "BackendServerSpec",
    "CallerClassSpec",
    "DatabaseGroupSpec",
    "Invalid",
    "Metadata",
    "Problem",
    "Resource",
    "Spec",
    "kind_from_name",
    "parse_resource",
    "to_json_value",
    "policy_value",
    "resource_document",
    "stored_spec",
    "stored_policy_value",
]
