"""Open transaction of a caller's session."""

import attrs


@attrs.define
class Transaction:
    """Open transaction of a session.

    Attributes:
      transaction_id: The id on the home proxy that holds the backend
        connection.
      begun: Whether the home proxy has opened it on a backend server.
      read_only: Whether the caller declared it READ ONLY.
      loss_reason: Why the transaction was lost; empty while it is usable.
    """

    transaction_id: str
    begun: bool = False
    read_only: bool = False
    loss_reason: str = ""
