"""Compares declared resources with those in force."""

import enum
from collections.abc import Mapping
from typing import Any

import attrs

from jackdawcrank_cli.client import Client
from jackdawcrank_cli.declared import Declared
from jackdawcrank_policy.configuration import RESOURCE_KINDS
from jackdawcrank_wire.resources import to_json_value


class Action(enum.StrEnum):
    """The action that brings a resource to its declared state."""

    CREATE = "create"
    CHANGE = "change"
    DELETE = "delete"
    NONE = "unchanged"


@attrs.frozen
class Difference:
    """One differing key of a resource spec.

    Attributes:
      path: The key's path.
      present: Its value in force.
      declared: Its declared value.
    """

    path: str
    present: Any
    declared: Any


@attrs.frozen
class Step:
    """The planned action for one resource.

    Attributes:
      action: The action to take.
      kind: The resource's kind.
      name: Its name.
      version: The version required for the write: the one in force unless the
        declaration names another; 0 if the resource does not exist.
      declared: The declaration; None for a resource to delete.
      differences: The differing keys of the spec.
    """

    action: Action
    kind: str
    name: str
    version: int
    declared: Declared | None
    differences: tuple[Difference, ...] = ()


Present = Mapping[tuple[str, str], Mapping[str, Any]]


async def read_present(client: Client) -> Present:
    """Return the resources in force, by kind and name."""
    present: dict[tuple[str, str], Mapping[str, Any]] = {}
    for kind in RESOURCE_KINDS:
        listed = await client.call("GET", f"/v1/{kind}")
        for item in listed["items"]:
            present[str(kind), item["metadata"]["name"]] = item
    return present


def make_plan(
    declared: list[Declared], present: Present, prune: bool
) -> list[Step]:
    """Return a step for each resource, deletions last.

    Args:
      declared: The declared resources, in the order to apply them.
      present: The resources in force.
      prune: Whether to delete resources that are not declared.
    """
    steps = [step_for(item, present.get(item.key)) for item in declared]
    if prune:
        keys = {item.key for item in declared}
        undeclared = [key for key in present if key not in keys]
        steps += (removal(key, present[key]) for key in reversed(undeclared))
    return steps


def step_for(item: Declared, present: Mapping[str, Any] | None) -> Step:
    """Return the step that brings one resource to its declared state."""
    kind, name = item.key
    if present is None:
        return Step(Action.CREATE, kind, name, 0, item)
    found = differences(present["spec"], to_json_value(item.resource.spec))
    action = Action.CHANGE if found else Action.NONE
    version = present["resourceVersion"]
    pinned = item.resource.resource_version
    if found and pinned is not None:
        version = pinned
    return Step(action, kind, name, version, item, found)


def removal(key: tuple[str, str], present: Mapping[str, Any]) -> Step:
    """Return the step that deletes an undeclared resource."""
    return Step(Action.DELETE, *key, present["resourceVersion"], None)


def differences(
    present: Mapping[str, Any], declared: Mapping[str, Any]
) -> tuple[Difference, ...]:
    """Return the keys that differ between two specs."""
    names = sorted(present.keys() | declared.keys())
    return tuple(
        Difference(f"spec.{name}", present.get(name), declared.get(name))
        for name in names
        if present.get(name) != declared.get(name)
    )
