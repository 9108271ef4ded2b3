"""Converts group rows to and from their JSON form."""

from collections.abc import Mapping
from typing import Any

import cattrs

from jackdawcrank_policy.values import GroupRow

CONVERTER = cattrs.Converter()


def encode_group_row(row: GroupRow) -> dict[str, Any]:
    """Return a group row's JSON value."""
    value: dict[str, Any] = CONVERTER.unstructure(row)
    return value


def decode_group_row(value: Mapping[str, Any]) -> GroupRow | None:
    """Return the decoded group row; None if the value is malformed."""
    try:
        return CONVERTER.structure(value, GroupRow)
    except (cattrs.BaseValidationError, TypeError, ValueError, KeyError):
        return None
