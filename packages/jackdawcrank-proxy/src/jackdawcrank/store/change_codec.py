"""Converts changes to and from rows of the table `changes`."""

from collections.abc import Mapping
from typing import Any

from jackdawcrank.store.group_row_codec import decode_group_row
from jackdawcrank_policy.configuration import Change, Kind, Value
from jackdawcrank_wire.resources import stored_policy_value

KEY_DIGITS = 12


def change_key(version: int) -> str:
    """Return the key of a change in the table `changes`."""
    return f"{version:0{KEY_DIGITS}d}"


def encode_change(change: Change) -> dict[str, Any]:
    """Return the JSON value of a change's row."""
    return {
        "token": change.token,
        "kind": change.kind,
        "name": change.name,
        "deleted": change.deleted,
        "body": dict(change.document),
        "actor": change.actor,
        "at": change.at,
    }


def decode_change(version: int, row: Mapping[str, Any]) -> Change:
    """Return the change stored in a row.

    Args:
      version: The change's version, which is its key.
      row: The row's JSON value.

    Raises:
      KeyError: A required key is missing.
      TypeError, ValueError: A value has the wrong type.
    """
    kind, name = str(row["kind"]), str(row["name"])
    deleted = bool(row["deleted"])
    document = row["body"] or {}
    return Change(
        version=version,
        kind=kind,
        name=name,
        deleted=deleted,
        value=None if deleted else typed_value(kind, name, document),
        document=document,
        token=str(row["token"]),
        actor=str(row.get("actor", "")),
        at=float(row.get("at", 0.0)),
    )


def typed_value(
    kind: str, name: str, document: Mapping[str, Any]
) -> Value | None:
    """Return the decoded value of a row; None if it is malformed."""
    if kind == Kind.GROUP_ROW:
        return decode_group_row(document)
    return stored_policy_value(kind, name, document)
