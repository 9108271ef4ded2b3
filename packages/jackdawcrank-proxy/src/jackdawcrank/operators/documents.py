"""JSON documents of stored rows in the resource API."""

from collections.abc import Iterator, Mapping
from typing import Any

from jackdawcrank_policy.configuration import Change, Entry, Kind
from jackdawcrank_wire.resources import API_VERSION, stored_spec, to_json_value


def resource_view(
    kind: str, name: str, entry: Entry, status: Mapping[str, Any]
) -> dict[str, Any]:
    """Return the resource document of a configuration entry."""
    return {
        "apiVersion": API_VERSION,
        "kind": kind,
        "metadata": {"name": name},
        "spec": full_spec(kind, entry.document.get("spec", {})),
        "status": {
            "changedBy": entry.actor,
            "changedAt": entry.at,
            **status,
        },
        "resourceVersion": entry.version,
    }


def full_spec(kind: str, spec: Mapping[str, Any]) -> dict[str, Any]:
    """Return a stored spec with defaults for its missing keys.

    Rows written by an older release lack keys that were added later.
    """
    known_spec = stored_spec(Kind(kind), spec)
    defaults = to_json_value(known_spec) if known_spec is not None else {}
    return {**defaults, **spec}


def change_view(change: Change) -> dict[str, Any]:
    """Return the watch document of a change."""
    document = dict(change.document)
    document.pop("resource_version", None)
    document.pop("token", None)
    return {
        "version": change.version,
        "kind": change.kind,
        "name": change.name,
        "deleted": change.deleted,
        "actor": change.actor,
        "at": change.at,
        "body": document,
    }


def differences(
    before: Mapping[str, Any], after: Mapping[str, Any], path: str = "spec"
) -> Iterator[dict[str, Any]]:
    """Yield the path, old and new value of each differing key."""
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name), after.get(name)
        if old != new:
            yield {"path": f"{path}.{name}", "from": old, "to": new}
