"""Tests of the generated OpenAPI description."""

import pathlib

import attrs

from jackdawcrank_policy import values
from jackdawcrank_policy.configuration import RESOURCE_KINDS
from jackdawcrank_wire.resources import BackendServerSpec, DatabaseGroupSpec
from jackdawcrank_wire.resources.openapi import openapi_document, openapi_text

PAGE = pathlib.Path(__file__).parents[4] / "docs" / "openapi.json"


def test_openapi_page_is_up_to_date() -> None:
    assert PAGE.read_text() == openapi_text(), (
        "outdated; regenerate: python -m jackdawcrank_wire.resources.openapi"
    )


def test_every_kind_has_its_operations_and_schema() -> None:
    document = openapi_document()
    for kind in RESOURCE_KINDS:
        item = document["paths"][f"/v1/{kind}/{{name}}"]
        assert set(item) == {"get", "put", "delete"}
        schema = document["components"]["schemas"][kind]
        assert schema["properties"]["kind"] == {"const": kind}


def test_schema_contains_bounds_and_defaults() -> None:
    schemas = openapi_document()["components"]["schemas"]
    spec = schemas["BackendServer"]["properties"]["spec"]
    assert spec["required"] == ["group", "host", "port"]
    assert spec["properties"]["port"]["maximum"] == 65535
    assert "joining" in spec["properties"]["state"]["enum"]


def test_defaults_agree_with_the_policy_values() -> None:
    for declared, value in (
        (DatabaseGroupSpec, values.GroupSpec),
        (BackendServerSpec, values.ServerSpec),
    ):
        expected = {f.name: f.default for f in attrs.fields(value)}
        for field in attrs.fields(declared):
            assert field.default == expected[field.name], field.name
