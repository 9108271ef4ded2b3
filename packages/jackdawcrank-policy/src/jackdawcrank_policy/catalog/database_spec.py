"""The declaration of a database that callers name."""

import attrs

from jackdawcrank_policy.catalog.consistency import Consistency


@attrs.frozen
class DatabaseSpec:
    """A database, the group that serves it and what its callers were promised.

    Several databases may be served by one group.

    Attributes:
      name: What callers name on connecting.
      group: The group of backend servers that serves it.
      consistency: How fresh its reads are.
      max_age_seconds: The greatest age of a read; 0 for primary consistency.
      statement_timeout_seconds: The longest time of one statement.
      latency_objective_seconds: The latency that an operation should keep.
      priority: 0 goes first.
    """

    name: str
    group: str
    consistency: Consistency
    max_age_seconds: float
    statement_timeout_seconds: float
    latency_objective_seconds: float
    priority: int
