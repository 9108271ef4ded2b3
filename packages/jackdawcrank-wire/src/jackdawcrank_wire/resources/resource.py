"""A declared resource of any kind."""

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
    """A resource: what operators declare and what the system says of it.

    Attributes:
      kind: The resource's kind.
      metadata: Its identity.
      spec: What is declared.
      status: What the system says of it; never taken from operators.
      resource_version: The version of its newest change; None if unknown.
    """

    kind: Kind
    metadata: Metadata
    spec: Spec
    status: Mapping[str, Any] = attrs.field(factory=dict)
    resource_version: int | None = None

    @property
    def name(self) -> str:
        """Return the resource's name."""
        return self.metadata.name
