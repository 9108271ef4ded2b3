"""A statement that an entry proxy forwards to a home proxy."""

import attrs

from jackdawcrank_wire.messages.statement_kind import StatementKind


@attrs.frozen
class StatementRequest:
    """A statement of a caller with its execution options.

    Attributes:
      group: The name of the database group that the statement addresses.
      sql: The statement as the caller sent it.
      caller: The user name that the caller logged in with.
      caller_class: The name of the caller's class.
      session_id: The id of the caller's connection, unique across all VMs.
      transaction_id: The id of the session's open transaction on the home
        proxy; empty if the statement is not part of a transaction.
      token: The newest position of the group that the session has observed,
        as `term:offset`; empty for none.
      max_age_ms: The maximum age of the data that a read may return, in
        milliseconds; None if the caller set no limit.
      request_id: The request id that the caller assigned to a write; empty for
        none.
      repeatable: Whether the statement may be run a second time.
      deadline_ms: The time left until the deadline, in milliseconds. It is
        relative because the clocks of two VMs differ.
      kind: The kind of the statement.
      last_server: The backend server of the session's last read; empty for
        none.
      last_read_age_ms: The time since the last read ended, in milliseconds;
        None if there was none.
      last_read_term: The term in which that server was chosen.
      setup: Statements that set session variables before the statement runs.
      begun: Whether the session's transaction is already open on the home
        proxy.
    """

    group: str
    sql: bytes
    caller: str = ""
    caller_class: str = "default"
    session_id: str = ""
    transaction_id: str = ""
    token: str = ""
    max_age_ms: int | None = None
    request_id: str = ""
    repeatable: bool = True
    deadline_ms: int = 30_000
    kind: StatementKind = StatementKind.WRITE
    last_server: str = ""
    last_read_age_ms: int | None = None
    last_read_term: int = 0
    setup: tuple[str, ...] = ()
    begun: bool = False
