"""Converts resource specs to the values of the policy package."""

import functools

import attrs

from jackdawcrank_policy import values
from jackdawcrank_wire.resources.backend_server import BackendServerSpec
from jackdawcrank_wire.resources.caller_class import CallerClassSpec
from jackdawcrank_wire.resources.database_group import DatabaseGroupSpec

PolicyValue = values.GroupSpec | values.ServerSpec | values.CallerClassSpec


@functools.singledispatch
def policy_value(spec: object, name: str) -> PolicyValue:
    """Return the policy value of a resource spec.

    Args:
      spec: The spec of the resource.
      name: The name of the resource.

    Raises:
      TypeError: The object is not a resource spec.
    """
    raise TypeError(f"not a resource spec: {spec!r} of {name}")


@policy_value.register
def group_value(spec: DatabaseGroupSpec, name: str) -> values.GroupSpec:
    """Return the policy value of a database group."""
    return values.GroupSpec(name=name, **attrs.asdict(spec))


@policy_value.register
def server_value(spec: BackendServerSpec, name: str) -> values.ServerSpec:
    """Return the policy value of a backend server."""
    keys = attrs.asdict(spec)
    state = values.ServerState(keys.pop("state"))
    return values.ServerSpec(name=name, state=state, **keys)


@policy_value.register
def caller_class_value(
    spec: CallerClassSpec, name: str
) -> values.CallerClassSpec:
    """Return the policy value of a caller class."""
    return values.CallerClassSpec(name=name, **attrs.asdict(spec))
