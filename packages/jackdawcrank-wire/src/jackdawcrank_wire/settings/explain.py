"""Generates the reference of the settings keys."""

import typing
from typing import Any

import attrs

from jackdawcrank_wire.settings.caller_login import CallerLogin
from jackdawcrank_wire.settings.settings import Settings, setting_fields

_TYPE_NAMES = {str: "string", int: "whole number", float: "number"}


def explain_settings() -> str:
    """Return the reference of all settings keys as a Markdown table."""
    lines = ["| key | type | default | meaning |", "|---|---|---|---|"]
    types = typing.get_type_hints(Settings)
    for field in setting_fields():
        kind = _type_name(types[field.name])
        default = _default_text(field)
        description = _description(field)
        lines.append(f"| `{field.name}` | {kind} | {default} | {description} |")
    return "\n".join(lines) + "\n"


def _type_name(kind: object) -> str:
    if typing.get_origin(kind) is tuple:
        return "list of " + _type_name(typing.get_args(kind)[0]) + "s"
    if kind is CallerLogin:
        return "login"
    return _TYPE_NAMES[typing.cast(type, kind)]


def _default_text(field: "attrs.Attribute[Any]") -> str:
    if field.default is attrs.NOTHING:
        return "required"
    return f"`{field.default!r}`".replace("'", '"')


def _description(field: "attrs.Attribute[Any]") -> str:
    rules = field.metadata
    text = str(rules["help"])
    if rules["choices"]:
        text += " One of: " + ", ".join(rules["choices"]) + "."
    if rules["minimum_length"]:
        text += f" At least {rules['minimum_length']} characters."
    if rules["minimum"] is not None and rules["maximum"] is not None:
        text += f" From {rules['minimum']} to {rules['maximum']}."
    elif rules["minimum"] is not None:
        text += f" At least {rules['minimum']}."
    return text
