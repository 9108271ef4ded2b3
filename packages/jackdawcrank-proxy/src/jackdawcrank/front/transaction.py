"""The transaction that a caller's session has open."""

import attrs


@attrs.define
class Transaction:
    """A session's open transaction.

    Attributes:
      transaction_id: Its id on the home proxy that holds its connection.
      begun: Whether the home proxy has opened it on a backend server.
      read_only: Whether the caller declared that it only reads.
      loss_reason: Why it was lost before its end; empty while it goes on.
    """

    transaction_id: str
    begun: bool = False
    read_only: bool = False
    loss_reason: str = ""
