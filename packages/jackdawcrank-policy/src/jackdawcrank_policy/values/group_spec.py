"""What operators declare of a database group."""

import attrs


@attrs.frozen
class GroupSpec:
    """A declared database group.

    Attributes:
      name: The group's name, which callers give as the database.
      slots_per_server: Statements that one backend server runs at once.
      connection_limit: Connections that the whole group accepts.
      default_max_age_ms: The age in milliseconds that a read may have when
        the caller states none; None sends such reads to the primary.
      confirm_writes: Whether a replica must confirm each write before it is
        acknowledged.
      statement_timeout_ms: The longest that one statement may run.
      transaction_timeout_ms: The longest that one transaction may stay open.
      drain_timeout_ms: The longest that open transactions may run on a
        leaving server.
      replica_wait_ms: How much longer than on the primary a read may take
        in order to be served by a replica.
    """

    name: str
    slots_per_server: int = 5
    connection_limit: int = 80
    default_max_age_ms: int | None = None
    confirm_writes: bool = False
    statement_timeout_ms: int = 30_000
    transaction_timeout_ms: int = 60_000
    drain_timeout_ms: int = 30_000
    replica_wait_ms: int = 150
