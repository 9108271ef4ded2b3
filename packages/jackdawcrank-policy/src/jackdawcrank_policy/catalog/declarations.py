"""One accepted version of the configuration."""

from collections.abc import Mapping

import attrs

from jackdawcrank_policy.catalog.database_spec import DatabaseSpec
from jackdawcrank_policy.catalog.served_group import ServedGroup


@attrs.frozen
class Declarations:
    """The databases and groups that operators declared.

    Attributes:
      version: The version; increases with each accepted configuration.
      databases: The databases by name.
      groups: The groups by name.
      idle_transaction_seconds: The time without a statement after which a
        transaction may be rolled back.
    """

    version: int
    databases: Mapping[str, DatabaseSpec]
    groups: Mapping[str, ServedGroup]
    idle_transaction_seconds: float

    def supersedes(self, other: "Declarations | None") -> bool:
        """Return whether this version is newer than another.

        Args:
          other: The version in force; None before the first.
        """
        return other is None or self.version > other.version
