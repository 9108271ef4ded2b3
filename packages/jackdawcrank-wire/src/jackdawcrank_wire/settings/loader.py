"""Loads settings from JSON and validates every key."""

import json
import pathlib
import typing
from typing import Any

import attrs

from jackdawcrank_wire.settings.caller_login import CallerLogin
from jackdawcrank_wire.settings.settings import Settings, setting_fields


@attrs.frozen
class SettingsErrors:
    """The validation errors of a settings file.

    Attributes:
      source: The path of the file, or another name for the source of the text.
      errors: One message for each invalid, unknown or missing key.
    """

    source: str
    errors: tuple[str, ...]

    def __str__(self) -> str:
        return "\n".join(f"{self.source}: {error}" for error in self.errors)


class _InvalidValueError(Exception):
    """Raised if a value is not valid for its key."""


def load_settings(path: pathlib.Path) -> Settings | SettingsErrors:
    """Return the settings in a JSON file, or its validation errors.

    Args:
      path: The path of the file.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return SettingsErrors(str(path), (f"cannot be read: {error}",))
    return parse_settings(text, str(path))


def parse_settings(text: str, source: str) -> Settings | SettingsErrors:
    """Return the settings in a JSON document, or its validation errors.

    Args:
      text: The JSON document.
      source: The name of the source of the text, for error messages.
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        return SettingsErrors(source, (f"is not JSON: {error}",))
    if not isinstance(document, dict):
        return SettingsErrors(source, ("is not a JSON object",))
    return _validate(document, source)


def _validate(
    document: dict[str, Any], source: str
) -> Settings | SettingsErrors:
    fields = {field.name: field for field in setting_fields()}
    types = typing.get_type_hints(Settings)
    errors = [f"{name}: unknown key" for name in document if name not in fields]
    values: dict[str, Any] = {}
    for name, field in fields.items():
        if name not in document:
            if field.default is attrs.NOTHING:
                errors.append(f"{name}: missing; {field.metadata['help']}")
            continue
        try:
            values[name] = _convert(document[name], types[name])
            _check_bounds(values[name], field)
        except _InvalidValueError as error:
            errors.append(f"{name}: {error}")
    if errors:
        return SettingsErrors(source, tuple(errors))
    return Settings(**values)


def _convert(value: Any, expected_type: Any) -> Any:
    if typing.get_origin(expected_type) is tuple:
        return _convert_list(value, typing.get_args(expected_type)[0])
    if expected_type is CallerLogin:
        return _convert_login(value)
    if expected_type is float and isinstance(value, int | float):
        if isinstance(value, bool):
            raise _InvalidValueError("is true or false, not a number")
        return float(value)
    if isinstance(value, bool) or not isinstance(value, expected_type):
        names = {str: "a string", int: "a whole number", float: "a number"}
        raise _InvalidValueError(
            f"is not {names.get(expected_type, expected_type)}"
        )
    return value


def _convert_list(value: Any, expected_type: Any) -> tuple[Any, ...]:
    if not isinstance(value, list):
        raise _InvalidValueError("is not a list")
    return tuple(_convert(item, expected_type) for item in value)


def _convert_login(value: Any) -> CallerLogin:
    if not isinstance(value, dict) or set(value) != {"user", "password"}:
        raise _InvalidValueError(
            "has an entry whose keys are not exactly user and password"
        )
    if not all(isinstance(item, str) for item in value.values()):
        raise _InvalidValueError("has a user or password that is not a string")
    return CallerLogin(**value)


def _check_bounds(value: Any, field: "attrs.Attribute[Any]") -> None:
    rules = field.metadata
    if rules["not_empty"] and not value:
        raise _InvalidValueError("is empty")
    strings = value if isinstance(value, tuple) else (value,)
    min_length = rules["minimum_length"]
    if min_length and any(len(text) < min_length for text in strings):
        raise _InvalidValueError(f"is shorter than {min_length} characters")
    if rules["choices"] and value not in rules["choices"]:
        allowed = ", ".join(rules["choices"])
        raise _InvalidValueError(f"is {value!r}, not one of {allowed}")
    if rules["minimum"] is not None and value < rules["minimum"]:
        raise _InvalidValueError(f"is {value}, below {rules['minimum']}")
    if rules["maximum"] is not None and value > rules["maximum"]:
        raise _InvalidValueError(f"is {value}, above {rules['maximum']}")
