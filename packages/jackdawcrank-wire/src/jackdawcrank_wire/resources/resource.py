"""A resource of any kind."""

from collections.abc import Mapping
from typing import Any

import attrs

from jackdawcrank_policy.configuration import Kind
from jackdawcrank_wire.resources.backend_server import BackendServerSpec
from jackdawcrank_wire.resources.caller_class import CallerClassSpec
from jackdawcrank_wire.resources.database_group import DatabaseGroupSpec
from jackdawcrank_wire.resources.metadata import Metadata

Spec = DatabaseGroupSpec | BackendServerSpec | CallerClassSpec

SPEC_CLASSES: dict[Kind, type[Any]] = {
    Kind.DATABASE_GROUP: DatabaseGroupSpec,
    Kind.BACKEND_SERVER: BackendServerSpec,
    Kind.CALLER_CLASS: CallerClassSpec,
}


@attrs.frozen
class Resource:
    """A resource with its declared spec and its observed status.

    Attributes:
      kind: The kind of the resource.
      metadata: The identity of the resource.
      spec: The configuration declared by operators.
      status: The state reported by the system; never accepted from operators.
      resource_version: The version of the newest change to the resource; None
        if unknown.
    """

    kind: Kind
    metadata: Metadata
    spec: Spec
    status: Mapping[str, Any] = attrs.field(factory=dict)
    resource_version: int | None = None

    @property
    def name(self) -> str:
        """The name of the resource."""
        return self.metadata.name
