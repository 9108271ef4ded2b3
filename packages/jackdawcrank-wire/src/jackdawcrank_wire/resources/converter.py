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


class WrongType(ValueError):
    """A value is not of its key's type."""


def exactly(value: Any, wanted: type[Any]) -> Any:
    """Return a value that has exactly the wanted type.

    Raises:
      WrongType: It has another type.
    """
    if type(value) is not wanted:
        raise WrongType(f"must be {TYPE_NAMES[wanted]}")
    return value


def optional_int(value: Any, _: Any) -> Any:
    """Return a whole number or None."""
    return None if value is None else exactly(value, int)


def strings(value: Any, _: Any) -> tuple[str, ...]:
    """Return a list of strings as a tuple."""
    if not isinstance(value, list | tuple):
        raise WrongType("must be a list of strings")
    return tuple(exactly(item, str) for item in value)


def new_converter(strict: bool) -> cattrs.Converter:
    """Return a converter between specs and JSON values.

    Args:
      strict: Whether unknown keys are refused; else they are passed over,
        as is right for rows that a newer release wrote.
    """
    converter = cattrs.Converter(detailed_validation=True)
    for primitive in TYPE_NAMES:
        converter.register_structure_hook(primitive, exactly)
    converter.register_structure_hook_func(
        lambda annotation: annotation == int | None, optional_int
    )
    converter.register_structure_hook_func(
        lambda annotation: annotation == tuple[str, ...], strings
    )
    for declared in DECLARED_CLASSES:
        add_hooks(converter, declared, strict)
    return converter


def add_hooks(
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


STRICT = new_converter(strict=True)
LENIENT = new_converter(strict=False)


def plain(spec: Any) -> dict[str, Any]:
    """Return a spec's JSON value with every key."""
    value = STRICT.unstructure(spec)
    return {
        name: list(item) if isinstance(item, tuple) else item
        for name, item in value.items()
    }
