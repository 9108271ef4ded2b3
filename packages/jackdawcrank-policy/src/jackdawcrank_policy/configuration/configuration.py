"""The configuration at one version."""

from collections.abc import Mapping
from typing import Any, TypeVar

import attrs

from jackdawcrank_policy.configuration.change import Change
from jackdawcrank_policy.configuration.entry import Entry
from jackdawcrank_policy.configuration.kind import Kind
from jackdawcrank_policy.values import (
    CallerClassSpec,
    GroupRow,
    GroupSpec,
    ServerSpec,
)

T = TypeVar("T")

FIELD_BY_KIND = {
    Kind.DATABASE_GROUP: "groups",
    Kind.BACKEND_SERVER: "servers",
    Kind.CALLER_CLASS: "caller_classes",
    Kind.GROUP_ROW: "group_rows",
}


def replaced(rows: Mapping[Any, T], key: object, row: T | None) -> dict[Any, T]:
    """Return a copy of rows with one row replaced, or removed if None."""
    copy = dict(rows)
    if row is None:
        copy.pop(key, None)
    else:
        copy[key] = row
    return copy


@attrs.frozen
class Configuration:
    """The result of all changes in the change log up to one version.

    Attributes:
      version: The version of the newest change that it includes.
      groups: The declared database groups by name.
      servers: The declared backend servers by name.
      caller_classes: The declared classes of callers by name.
      group_rows: The groups' rows, which hold their terms, by group name.
      entries: Every row as stored, by kind and name.
    """

    version: int = 0
    groups: Mapping[str, GroupSpec] = attrs.field(factory=dict)
    servers: Mapping[str, ServerSpec] = attrs.field(factory=dict)
    caller_classes: Mapping[str, CallerClassSpec] = attrs.field(factory=dict)
    group_rows: Mapping[str, GroupRow] = attrs.field(factory=dict)
    entries: Mapping[tuple[str, str], Entry] = attrs.field(factory=dict)

    def with_change(self, change: Change) -> "Configuration":
        """Return the configuration with the next change applied.

        A row that this release cannot decode keeps its last decoded value.
        """
        key = (change.kind, change.name)
        update: dict[str, Any] = {
            "version": change.version,
            "entries": replaced(self.entries, key, entry_of(change)),
        }
        field = FIELD_BY_KIND.get(change.kind)  # type: ignore[call-overload]
        if field is not None and (change.deleted or change.value is not None):
            rows = getattr(self, field)
            update[field] = replaced(rows, change.name, change.value)
        return attrs.evolve(self, **update)

    def servers_of(self, group: str) -> tuple[ServerSpec, ...]:
        """Return a group's servers, sorted by name."""
        members = (s for s in self.servers.values() if s.group == group)
        return tuple(sorted(members, key=lambda server: server.name))


def entry_of(change: Change) -> Entry | None:
    """Return the entry that a change writes; None if it deletes the row."""
    if change.deleted:
        return None
    return Entry(change.document, change.version, change.actor, change.at)
