"""The declaration of a database that callers connect to."""

import attrs

from jackdawcrank_policy.catalog.consistency import Consistency


@attrs.frozen
class DatabaseSpec:
    """A database, the group that serves it and its guarantees to callers.

    One group may serve several databases.

    Attributes:
      name: The name that callers give when they connect.
      group: The group of backend servers that serves it.
      consistency: The consistency level of its reads.
      max_age_seconds: The maximum age of the data that a read returns; 0 for
        primary consistency.
      statement_timeout_seconds: The maximum duration of one statement.
      latency_objective_seconds: The latency that an operation should not
        exceed.
      priority: Its priority; 0 is served first.
      anonymous: Whether callers need no key of a client account.
    """

    name: str
    group: str
    consistency: Consistency
    max_age_seconds: float
    statement_timeout_seconds: float
    latency_objective_seconds: float
    priority: int
    anonymous: bool = False
