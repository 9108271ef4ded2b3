"""Reads specs from the store, including those of other releases."""

from collections.abc import Mapping
from typing import Any

import cattrs

from jackdawcrank_policy.configuration import Kind
from jackdawcrank_wire.resources.convert import PolicyValue, policy_value
from jackdawcrank_wire.resources.converter import LENIENT
from jackdawcrank_wire.resources.parse import kind_from_name
from jackdawcrank_wire.resources.resource import SPEC_CLASSES, Spec


def stored_spec(kind: Kind, spec: Any) -> Spec | None:
    """Return a spec from the store; None if this release cannot read it."""
    try:
        parsed_spec: Spec = LENIENT.structure(spec, SPEC_CLASSES[kind])
    except (cattrs.BaseValidationError, TypeError, AttributeError, ValueError):
        return None
    return parsed_spec


def stored_policy_value(
    kind: str, name: str, document: Mapping[str, Any]
) -> PolicyValue | None:
    """Return the policy value of a stored resource.

    Keys that this release does not know are ignored.

    Args:
      kind: The kind of the resource.
      name: The name of the resource.
      document: The stored row, with the key `spec`.

    Returns:
      The policy value; None if this release cannot read the resource.
    """
    resource_kind = kind_from_name(kind)
    if resource_kind is None:
        return None
    spec = stored_spec(resource_kind, document.get("spec"))
    if spec is None:
        return None
    try:
        return policy_value(spec, name)
    except ValueError:
        return None
