"""Structures specs with cattrs."""

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
    """A value is not of its key's type."""


def structure_exact(value: Any, expected_type: type[Any]) -> Any:
    """Return a value that has exactly the wanted type.

    Raises:
      WrongTypeError: It has another type.
    """
    if type(value) is not expected_type:
        raise WrongTypeError(f"must be {TYPE_NAMES[expected_type]}")
    return value


def structure_optional_int(value: Any, _: Any) -> Any:
    """Return a whole number or None."""
    return None if value is None else structure_exact(value, int)


def structure_strings(value: Any, _: Any) -> tuple[str, ...]:
    """Return a list of strings as a tuple."""
    if not isinstance(value, list | tuple):
        raise WrongTypeError("must be a list of strings")
    return tuple(structure_exact(item, str) for item in value)


def build_spec_converter(strict: bool) -> cattrs.Converter:
    """Return a converter between specs and JSON values.

    Args:
      strict: Whether unknown keys are refused; else they are passed over,
        as is right for rows that a newer release wrote.
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
    """Teach a converter the JSON keys of a declared class."""
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
    """Return a spec's JSON value with every key."""
    value = STRICT.unstructure(spec)
    return {
        name: list(item) if isinstance(item, tuple) else item
        for name, item in value.items()
    }
