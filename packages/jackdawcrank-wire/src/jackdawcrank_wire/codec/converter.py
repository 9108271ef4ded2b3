"""Conversion between messages and lists of plain values."""

import base64
import collections.abc
import enum
import types
import typing

import attrs
import cattrs

from jackdawcrank_wire.messages import (
    ResultError,
    ResultOk,
    ResultRows,
    Rows,
    StatementResult,
)

RESULT_TYPES: dict[int, type[StatementResult]] = {
    1: ResultRows,
    2: ResultOk,
    3: ResultError,
}
RESULT_NUMBERS = {cls: number for number, cls in RESULT_TYPES.items()}

UnstructureHook = collections.abc.Callable[[typing.Any], typing.Any]
StructureHook = collections.abc.Callable[[typing.Any, typing.Any], typing.Any]


def build_converter(*, bytes_as_text: bool = False) -> cattrs.Converter:
    """Return a converter between messages and lists of plain values.

    An attrs class is converted to the list of its field values, in order.
    When a list is read, unknown trailing fields are ignored and missing fields
    take their defaults. Two versions are therefore compatible as long as new
    fields are added at the end and have defaults.

    Args:
      bytes_as_text: Whether to encode bytes as base64 text, for formats
        without a byte string type.
    """
    converter = cattrs.Converter(detailed_validation=False)
    register_scalars(converter)
    if bytes_as_text:
        register_base64(converter)
    else:
        register_rows(converter)
    converter.register_structure_hook_factory(
        attrs.has, lambda cls: make_structure_hook(cls, converter)
    )
    converter.register_unstructure_hook_factory(
        attrs.has, lambda cls: make_unstructure_hook(cls, converter)
    )
    register_results(converter)
    return converter


def register_scalars(converter: cattrs.Converter) -> None:
    """Register hooks that accept only scalars of the declared type.

    Args:
      converter: The converter to register the hooks with.
    """
    for scalar in (int, str, bytes, bool):
        converter.register_structure_hook(scalar, structure_exact)
    converter.register_structure_hook(float, structure_float)
    converter.register_structure_hook(
        enum.StrEnum, lambda value, cls: cls(value)
    )


def structure_exact(value: typing.Any, cls: type) -> typing.Any:
    """Return a value unchanged after checking its type.

    Subclasses are not accepted, so `True` is not a valid integer.

    Args:
      value: The value to check.
      cls: The required type.

    Raises:
      TypeError: The value has another type.
    """
    if type(value) is not cls:
        raise TypeError(f"got {type(value).__name__}, expected {cls.__name__}")
    return value


def structure_float(value: typing.Any, _: typing.Any) -> float:
    """Return a number as a float.

    Args:
      value: An integer or float.

    Raises:
      TypeError: The value is not a number.
    """
    if type(value) not in (int, float):
        raise TypeError(f"got {type(value).__name__}, expected float")
    return float(value)


def register_base64(converter: cattrs.Converter) -> None:
    """Register hooks that convert bytes to and from base64 text.

    Args:
      converter: The converter to register the hooks with.
    """
    converter.register_unstructure_hook(
        bytes, lambda value: base64.b64encode(value).decode()
    )
    converter.register_structure_hook(
        bytes, lambda value, _: base64.b64decode(value, validate=True)
    )


def register_rows(converter: cattrs.Converter) -> None:
    """Register hooks that pass rows through without per-value hooks.

    Args:
      converter: The converter to register the hooks with.
    """
    converter.register_structure_hook_func(
        lambda cls: cls == Rows, structure_rows
    )
    converter.register_unstructure_hook_func(
        lambda cls: cls == Rows, lambda rows: rows
    )


def structure_rows(value: typing.Any, _: typing.Any) -> Rows:
    """Return rows whose values are bytes or None.

    Args:
      value: A list of lists.

    Raises:
      TypeError: The value is not a list, or a row contains a value that is
        neither bytes nor None.
    """
    rows = tuple(tuple(row) for row in require_list(value))
    for row in rows:
        if not all(cell is None or type(cell) is bytes for cell in row):
            raise TypeError(
                "row contains a value that is neither bytes nor None"
            )
    return rows


def require_list(value: typing.Any) -> list[typing.Any]:
    """Return a value unchanged after checking that it is a list.

    Args:
      value: The value to check.

    Raises:
      TypeError: The value is not a list.
    """
    if type(value) is not list:
        raise TypeError(f"got {type(value).__name__}, expected list")
    return value


def make_structure_hook(
    cls: type, converter: cattrs.Converter
) -> StructureHook:
    """Return a hook that builds an instance of an attrs class from a list.

    Args:
      cls: The attrs class.
      converter: The converter that provides the hooks of the field types.
    """
    fields = attrs.fields(attrs.resolve_types(cls))
    hooks = [
        (converter.get_structure_hook(field.type), field.type)
        for field in fields
    ]

    def structure(value: typing.Any, _: typing.Any) -> typing.Any:
        pairs = zip(hooks, require_list(value), strict=False)
        return cls(*[hook(item, kind) for (hook, kind), item in pairs])

    return structure


def make_unstructure_hook(
    cls: type, converter: cattrs.Converter
) -> UnstructureHook:
    """Return a hook that converts an instance of an attrs class to a list.

    Args:
      cls: The attrs class.
      converter: The converter that provides the hooks of the field types.
    """
    fields = attrs.fields(attrs.resolve_types(cls))
    hooks = [
        (field.name, converter.get_unstructure_hook(field.type))
        for field in fields
    ]

    def unstructure(value: typing.Any) -> list[typing.Any]:
        return [hook(getattr(value, name)) for name, hook in hooks]

    return unstructure


def register_results(converter: cattrs.Converter) -> None:
    """Register hooks that tag each statement result with its type number.

    Args:
      converter: The converter to register the hooks with.
    """

    def is_result(cls: typing.Any) -> bool:
        return isinstance(cls, types.UnionType) and cls == StatementResult

    def structure(value: typing.Any, _: typing.Any) -> StatementResult:
        number, body = require_list(value)[:2]
        return converter.structure(body, RESULT_TYPES[number])

    def unstructure(result: StatementResult) -> list[typing.Any]:
        number = RESULT_NUMBERS[type(result)]
        return [number, converter.unstructure(result)]

    converter.register_structure_hook_func(is_result, structure)
    converter.register_unstructure_hook_func(is_result, unstructure)
