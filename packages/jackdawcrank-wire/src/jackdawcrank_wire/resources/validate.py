"""Builds spec and metadata objects from JSON and reports all problems."""

import re
from collections.abc import Iterator
from typing import Any, TypeVar

import attrs
from cattrs.errors import (
    AttributeValidationNote,
    ClassValidationError,
    ForbiddenExtraKeysError,
)

from jackdawcrank_wire.resources.converter import STRICT
from jackdawcrank_wire.resources.declare import camel_case
from jackdawcrank_wire.resources.problem import Invalid, Problem

T = TypeVar("T")


def structure_validated(
    value: Any, declared: type[T], path: str
) -> T | Invalid:
    """Return an instance of a class, or the validation errors.

    Args:
      value: The decoded JSON value.
      declared: The attrs class to instantiate.
      path: The path of the value in its document.
    """
    if not isinstance(value, dict):
        return Invalid((Problem(path, "must be an object", value),))
    try:
        instance = STRICT.structure(value, declared)
    except ClassValidationError as error:
        return Invalid(tuple(conversion_problems(error, value, path)))
    out_of_bounds = tuple(bound_problems(instance, path))
    return Invalid(out_of_bounds) if out_of_bounds else instance


def conversion_problems(
    error: ClassValidationError, value: dict[str, Any], path: str
) -> Iterator[Problem]:
    """Yield a problem for each validation error reported by cattrs."""
    for inner in error.exceptions:
        if isinstance(inner, ForbiddenExtraKeysError):
            for name in sorted(inner.extra_fields):
                yield Problem(f"{path}.{name}", "is not a known key")
            continue
        name = camel_case(attribute_name(inner))
        if name not in value:
            yield Problem(f"{path}.{name}", "is required")
        else:
            yield Problem(f"{path}.{name}", str(inner), value[name])


def attribute_name(error: BaseException) -> str:
    """Return the name of the attribute that a cattrs error refers to.

    Returns:
      The name; `?` if the error has no attribute note.
    """
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, AttributeValidationNote):
            return note.name
    return "?"


def bound_problems(instance: Any, path: str) -> Iterator[Problem]:
    """Yield a problem for each value that violates its declared limits."""
    for field in attrs.fields(type(instance)):
        value = getattr(instance, field.name)
        message = bound_message(value, field.metadata)
        if message:
            yield Problem(f"{path}.{camel_case(field.name)}", message, value)


def bound_message(value: Any, rules: Any) -> str:
    """Return a message on the first violated limit; empty if none."""
    if value is None:
        return ""
    if rules["minimum"] is not None and value < rules["minimum"]:
        return f"must be at least {rules['minimum']}"
    if rules["maximum"] is not None and value > rules["maximum"]:
        return f"must be at most {rules['maximum']}"
    if rules["choices"] and value not in rules["choices"]:
        return "must be one of " + ", ".join(rules["choices"])
    if rules["pattern"] and not re.fullmatch(rules["pattern"], value):
        return f"must match {rules['pattern']}"
    return ""
