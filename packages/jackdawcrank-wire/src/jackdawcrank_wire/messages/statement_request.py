"""A statement that an entry proxy hands to a home proxy."""

import attrs

from jackdawcrank_wire.messages.statement_kind import StatementKind


@attrs.frozen
class StatementRequest:
    """One statement of a caller, with its options.

    Attributes:
      group: The database group that it addresses.
      sql: The statement as the caller sent it.
      caller: The user name that the caller logged in with.
      caller_class: The caller's class.
      session_id: The caller's connection, unique over all VMs.
      transaction_id: The session's open transaction on the home proxy; empty
        for a statement of its own.
      token: The position of the group that the session has seen, written as
        `term:offset`; empty for none.
      max_age_ms: The age in milliseconds that a read may have; None where the
        caller stated none.
      request_id: The caller's id of a write; empty for none.
      repeatable: Whether the statement may be run a second time.
      deadline_ms: The time that remains, in milliseconds, since the clocks of
        two VMs differ.
      kind: What the statement does.
      last_server: The backend server of the session's last read; empty for
        none.
      last_read_age_ms: The time since that read ended, in milliseconds.
      last_read_term: The term under which that server was chosen.
      setup: Statements that set the session's variables, to run before it.
      begun: Whether the session's transaction is open on the home already.
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
