"""The failure of a statement."""

import attrs

from jackdawcrank_wire.messages.statement_outcome import StatementOutcome


@attrs.frozen
class ResultError:
    """A statement did not succeed.

    Attributes:
      outcome: Whether it ran.
      reason: A short machine-readable reason.
      code: The MySQL error code.
      sqlstate: The five-character SQLSTATE.
      message: A sentence for people.
      retry_after_ms: When to try again; None where that is no help.
      in_transaction: Whether the session has an open transaction after it.
      transaction_id: The open transaction on the home proxy, if any.
    """

    outcome: StatementOutcome
    reason: str
    code: int = 1105
    sqlstate: str = "HY000"
    message: str = ""
    retry_after_ms: int | None = None
    in_transaction: bool = False
    transaction_id: str = ""
