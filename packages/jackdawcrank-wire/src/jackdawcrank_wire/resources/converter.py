"""Conversion between specs and JSON values with cattrs."""

from typing import Any

import attrs
import cattrs
from cattrs.gen import (
    make_dict_structure_fn,
    make_dict_unstructure_fn,
    override,
)

from jackdawcrank_wire.resources.declare import camel_case
from jackdawcrank_wire.resources.metadata import Metadata
from jackdawcrank_wire.resources.resource import SPEC_CLASSES

DECLARED_CLASSES: tuple[type[Any], ...] = (Metadata, *SPEC_CLASSES.values())
TYPE_NAMES = {str: "a string", int: "a whole number", bool: "true or false"}


class WrongTypeError(ValueError):
    """Raised if a value does not have the type of its key."""


def structure_exact(value: Any, expected_type: type[Any]) -> Any:
    """Return a value unchanged after checking its type.

    Subclasses are not accepted, so `True` is not a valid integer.

    Raises:
      WrongTypeError: The value has another type.
    """
    if type(value) is not expected_type:
        raise WrongTypeError(f"must be {TYPE_NAMES[expected_type]}")
    return value


def structure_optional_int(value: Any, _: Any) -> Any:
    """Return a value that must be an integer or None.

    Raises:
      WrongTypeError: The value has another type.
    """
    return None if value is None else structure_exact(value, int)


def structure_strings(value: Any, _: Any) -> tuple[str, ...]:
    """Return a list of strings as a tuple.

    Raises:
      WrongTypeError: The value is not a list or contains a non-string.
    """
    if not isinstance(value, list | tuple):
        raise WrongTypeError("must be a list of strings")
    return tuple(structure_exact(item, str) for item in value)


def build_spec_converter(strict: bool) -> cattrs.Converter:
    """Return a converter between specs and JSON values.

    Args:
      strict: Whether to reject unknown keys. If false, they are ignored, so
        that rows written by a newer release can be read.
    """
    converter = cattrs.Converter(detailed_validation=True)
    for primitive in TYPE_NAMES:
        converter.register_structure_hook(primitive, structure_exact)
    converter.register_structure_hook_func(
        lambda annotation: annotation == int | None, structure_optional_int
    )
    converter.register_structure_hook_func(
        lambda annotation: annotation == tuple[str, ...], structure_strings
    )
    for declared in DECLARED_CLASSES:
        register_hooks(converter, declared, strict)
    return converter


def register_hooks(
    converter: cattrs.Converter, declared: type[Any], strict: bool
) -> None:
    """Register hooks that map attributes to camel-case JSON keys."""
    renames: dict[str, Any] = {
        field.name: override(rename=camel_case(field.name))
        for field in attrs.fields(declared)
    }
    structure = make_dict_structure_fn(
        declared,
        converter,
        _cattrs_forbid_extra_keys=strict,
        **renames,
    )
    unstructure = make_dict_unstructure_fn(declared, converter, **renames)
    converter.register_structure_hook(declared, structure)
    converter.register_unstructure_hook(declared, unstructure)


STRICT = build_spec_converter(strict=True)
LENIENT = build_spec_converter(strict=False)


def to_json_value(spec: Any) -> dict[str, Any]:
    """Return the JSON value of a spec, including keys at their default."""
    value = STRICT.unstructure(spec)
    return {
        name: list(item) if isinstance(item, tuple) else item
        for name, item in value.items()
    }
