"""Finding what was declared of a database."""

import typing

from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank_policy.catalog import DatabaseSpec


class Resolver(typing.Protocol):
    """Finds what was declared of a database."""

    def resolve(self, name: str) -> tuple[DatabaseSpec, GroupRelay] | None:
        """Return a database's declaration and its group, or None.

        Args:
          name: What the caller named.
        """
