"""Tests of loading and validating settings."""

import json
import pathlib
from typing import Any

import pytest

from jackdawcrank_wire.settings import (
    Settings,
    SettingsErrors,
    load_settings,
    parse_settings,
)


@pytest.fixture
def document() -> dict[str, Any]:
    return {
        "vm": "vm1",
        "host": "127.0.0.1",
        "platform_url": "http://127.0.0.1:1",
        "peer_secret": "s" * 16,
        "token_keys": ["k" * 16],
        "operator_tokens": ["t" * 16],
        "callers": [{"user": "app", "password": "p"}],
        "backend_user": "b",
    }


def errors_of(document: object) -> tuple[str, ...]:
    outcome = parse_settings(json.dumps(document), "s.json")
    assert isinstance(outcome, SettingsErrors)
    return outcome.errors


def test_defaults_fill_absent_keys(document: dict[str, Any]) -> None:
    settings = parse_settings(json.dumps(document), "s.json")
    assert isinstance(settings, Settings)
    assert settings.caller_port == 3306
    assert settings.callers[0].user == "app"


def test_secrets_are_not_printed(document: dict[str, Any]) -> None:
    document["peer_secret"] = "hidden-value-of-the-secret"
    settings = parse_settings(json.dumps(document), "s.json")
    assert "hidden-value-of-the-secret" not in repr(settings)


@pytest.mark.parametrize(
    ("name", "value", "message"),
    [
        ("caller_port", "3306", "caller_port: is not a whole number"),
        ("caller_port", 70000, "caller_port: is 70000, above 65535"),
        ("caller_port", True, "caller_port: is not a whole number"),
        ("login_timeout_seconds", 0, "login_timeout_seconds: is 0.0, below"),
        ("log_format", "xml", "log_format: is 'xml', not one of text, json"),
        ("token_keys", [], "token_keys: is empty"),
        ("token_keys", "k", "token_keys: is not a list"),
        ("token_keys", ["k"], "token_keys: is shorter than 16 characters"),
        ("peer_secret", "s", "peer_secret: is shorter than 16 characters"),
        ("callers", [{"user": "a"}], "callers: has an entry whose keys are"),
        ("callers_port", 1, "callers_port: unknown key"),
        ("vm", "", "vm: is empty"),
    ],
)
def test_wrong_value_names_its_key(
    document: dict[str, Any], name: str, value: object, message: str
) -> None:
    document[name] = value
    (error,) = errors_of(document)
    assert error.startswith(message)


def test_missing_key_is_named(document: dict[str, Any]) -> None:
    del document["vm"]
    (error,) = errors_of(document)
    assert error.startswith("vm: missing; Name of this VM")


def test_errors_name_the_file(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.json"
    path.write_text("{")
    outcome = load_settings(path)
    assert str(outcome).startswith(f"{path}: is not JSON")
