"""The result of a statement that did not succeed."""

import attrs

from jackdawcrank_wire.messages.statement_outcome import StatementOutcome


@attrs.frozen
class ResultError:
    """An error result.

    Attributes:
      outcome: Whether the statement ran, as far as is known.
      reason: A machine-readable reason.
      code: The MySQL error code.
      sqlstate: The five-character SQLSTATE.
      message: A human-readable error message.
      retry_after_ms: The time in milliseconds after which to retry; None if
        retrying does not help.
      in_transaction: Whether the session has an open transaction afterwards.
      transaction_id: The id of the open transaction on the home proxy; empty
        for none.
    """

    outcome: StatementOutcome
    reason: str
    code: int = 1105
    sqlstate: str = "HY000"
    message: str = ""
    retry_after_ms: int | None = None
    in_transaction: bool = False
    transaction_id: str = ""
