"""Lookup of database declarations."""

import typing

from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank_policy.catalog import DatabaseSpec


class Resolver(typing.Protocol):
    """Looks up the declaration and the group of a database."""

    def resolve(self, name: str) -> tuple[DatabaseSpec, GroupRelay] | None:
        """Return a database's declaration and group, or None if unknown.

        Args:
          name: The database name that the caller sent.
        """
