"""Converts specs to the values that decisions are made with."""

import functools

from jackdawcrank_policy import values
from jackdawcrank_wire.resources.backend_server import BackendServerSpec
from jackdawcrank_wire.resources.caller_class import CallerClassSpec
from jackdawcrank_wire.resources.database_group import DatabaseGroupSpec

PolicyValue = values.GroupSpec | values.ServerSpec | values.CallerClassSpec


@functools.singledispatch
def policy_value(spec: object, name: str) -> PolicyValue:
    """Return the policy's value of a named resource's spec.

    Args:
      spec: The spec.
      name: The resource's name.
    """
    raise TypeError(f"not a spec: {spec!r} of {name}")


@policy_value.register
def group_value(spec: DatabaseGroupSpec, name: str) -> values.GroupSpec:
    """Return the policy's value of a database group."""
    return values.GroupSpec(
        name=name,
        slots_per_server=spec.slots_per_server,
        connection_limit=spec.connection_limit,
        default_max_age_ms=spec.default_max_age_ms,
        confirm_writes=spec.confirm_writes,
        statement_timeout_ms=spec.statement_timeout_ms,
        transaction_timeout_ms=spec.transaction_timeout_ms,
        drain_timeout_ms=spec.drain_timeout_ms,
    )


@policy_value.register
def server_value(spec: BackendServerSpec, name: str) -> values.ServerSpec:
    """Return the policy's value of a backend server."""
    return values.ServerSpec(
        name=name,
        group=spec.group,
        host=spec.host,
        port=spec.port,
        region=spec.region,
        data_center=spec.data_center,
        state=values.ServerState(spec.state),
    )


@policy_value.register
def class_value(spec: CallerClassSpec, name: str) -> values.CallerClassSpec:
    """Return the policy's value of a class of callers."""
    return values.CallerClassSpec(
        name=name,
        users=spec.users,
        weight=spec.weight,
        max_concurrent=spec.max_concurrent,
        rate_per_second=spec.rate_per_second,
        burst=spec.burst,
    )
