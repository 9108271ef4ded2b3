"""Metadata common to all resources."""

import attrs

from jackdawcrank_wire.resources.declare import key

API_VERSION = "jackdawcrank/v1"
NAME_PATTERN = r"[a-z0-9]([a-z0-9_-]{0,61}[a-z0-9])?"


@attrs.frozen
class Metadata:
    """The identity of a resource.

    Attributes:
      name: The name, unique among the resources of its kind.
    """

    name: str = key(
        "Name: lower-case letters, digits, '-' and '_'; at most 63.",
        pattern=NAME_PATTERN,
    )
