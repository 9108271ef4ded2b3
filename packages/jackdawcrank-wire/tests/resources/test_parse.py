"""Tests of resource validation and conversion."""

from typing import Any

import attrs
import pytest

from jackdawcrank_policy.values import GroupSpec, ServerSpec, ServerState
from jackdawcrank_wire.resources import (
    DatabaseGroupSpec,
    Invalid,
    Resource,
    parse_resource,
    policy_value,
    resource_document,
    stored_policy_value,
)

SERVER = {"group": "g", "host": "10.0.0.1", "port": 3306}


def document(kind: str, spec: Any, name: Any = "x") -> dict[str, Any]:
    return {
        "apiVersion": "jackdawcrank/v1",
        "kind": kind,
        "metadata": {"name": name},
        "spec": spec,
    }


@pytest.mark.parametrize(
    ("kind", "spec", "message"),
    [
        (
            "DatabaseGroup",
            {"slotsPerServer": "3"},
            'spec.slotsPerServer: must be a whole number, but is "3"',
        ),
        (
            "DatabaseGroup",
            {"slotsPerServer": 0},
            "spec.slotsPerServer: must be at least 1, but is 0",
        ),
        (
            "DatabaseGroup",
            {"confirmWrites": 1},
            "spec.confirmWrites: must be true or false, but is 1",
        ),
        ("DatabaseGroup", {"slots": 3}, "spec.slots: is not a known key"),
        ("DatabaseGroup", [], "spec: must be an object, but is []"),
        ("BackendServer", {**SERVER, "port": 70000}, "spec.port: must be at"),
        (
            "BackendServer",
            {"group": "g", "host": "10.0.0.1"},
            "spec.port: is required",
        ),
        (
            "BackendServer",
            {**SERVER, "state": "gone"},
            "spec.state: must be one of joining, serving, leaving",
        ),
        ("BackendServer", {**SERVER, "host": "db.example"}, "spec.host: must"),
        ("CallerClass", {"users": ["a", 1]}, "spec.users: must be a string"),
        ("Database", {}, "kind: must be one of DatabaseGroup"),
    ],
)
def test_a_problem_names_path_and_value(
    kind: str, spec: Any, message: str
) -> None:
    result = parse_resource(document(kind, spec))
    assert isinstance(result, Invalid)
    assert str(result).startswith(message)


@pytest.mark.parametrize("name", ["", "A", "a/b", "-a", "a" * 64, None, 3])
def test_an_invalid_name_is_rejected(name: Any) -> None:
    result = parse_resource(document("DatabaseGroup", {}, name))
    assert isinstance(result, Invalid)
    assert result.problems[0].path == "metadata.name"


def test_every_problem_is_reported_at_once() -> None:
    invalid_document = document("BackendServer", {"port": "x", "extra": 1}, "B")
    invalid_document["apiVersion"] = "v0"
    invalid_document["note"] = ""
    result = parse_resource(invalid_document)
    assert isinstance(result, Invalid)
    assert {problem.path for problem in result.problems} == {
        "note",
        "apiVersion",
        "metadata.name",
        "spec.port",
        "spec.extra",
        "spec.group",
        "spec.host",
    }


@pytest.mark.parametrize("value", [None, [], "x", 3])
def test_a_non_object_document_is_rejected(value: Any) -> None:
    assert isinstance(parse_resource(value), Invalid)


def test_a_resource_survives_a_json_round_trip() -> None:
    given = document("DatabaseGroup", {"defaultMaxAgeMs": 5000})
    given["resourceVersion"] = 7
    resource = parse_resource(given)
    assert isinstance(resource, Resource)
    written = resource_document(resource)
    assert written["spec"]["defaultMaxAgeMs"] == 5000
    assert written["spec"]["slotsPerServer"] == 5
    assert parse_resource(written) == resource


def test_specs_become_policy_values() -> None:
    group = parse_resource(document("DatabaseGroup", {"slotsPerServer": 3}))
    server = parse_resource(
        document("BackendServer", {**SERVER, "state": "leaving"})
    )
    assert isinstance(group, Resource)
    assert isinstance(server, Resource)
    assert policy_value(group.spec, "x") == GroupSpec("x", slots_per_server=3)
    assert policy_value(server.spec, "x") == ServerSpec(
        "x", "g", "10.0.0.1", 3306, state=ServerState.LEAVING
    )


def test_policy_value_contains_every_declared_key() -> None:
    spec = DatabaseGroupSpec(
        **{
            field.name: True if field.type is bool else 77
            for field in attrs.fields(DatabaseGroupSpec)
        }
    )
    value = attrs.asdict(policy_value(spec, "x"))
    assert value.pop("name") == "x"
    assert value == attrs.asdict(spec)


def test_unknown_keys_of_a_stored_row_are_ignored() -> None:
    row = {"spec": {"slotsPerServer": 4, "colour": "red"}}
    value = stored_policy_value("DatabaseGroup", "x", row)
    assert value == GroupSpec("x", slots_per_server=4)


@pytest.mark.parametrize(
    ("kind", "row"),
    [
        ("Mirror", {"spec": {}}),
        ("DatabaseGroup", {"spec": 5}),
        ("DatabaseGroup", {"spec": {"slotsPerServer": []}}),
        ("BackendServer", {"spec": {**SERVER, "state": "melting"}}),
        ("BackendServer", {}),
    ],
)
def test_an_unreadable_row_has_no_value(kind: str, row: Any) -> None:
    assert stored_policy_value(kind, "x", row) is None
