"""The declaration of a database group."""

import attrs


@attrs.frozen
class GroupSpec:
    """A database group declared by operators.

    Attributes:
      name: The group's name, which callers give as the database.
      slots_per_server: Statements that run concurrently on a backend server.
      connection_limit: Connections that the whole group accepts.
      default_max_age_ms: The maximum age of a read's data, in milliseconds, if
        the caller states none; None sends such reads to the primary.
      confirm_writes: Whether a replica must confirm each write before it is
        acknowledged.
      statement_timeout_ms: The maximum run time of a statement, in
        milliseconds.
      transaction_timeout_ms: The maximum time that a transaction may stay
        open, in milliseconds.
      drain_timeout_ms: The maximum time that open transactions may continue
        on a leaving server, in milliseconds.
      replica_wait_ms: The extra time that a read may take on a replica,
        compared with the primary, and still be served by the replica, in
        milliseconds.
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
