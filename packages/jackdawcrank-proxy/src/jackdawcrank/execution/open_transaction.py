"""A transaction that a session has open on a home proxy."""

import asyncio

import attrs

from jackdawcrank.backend.server_connection import ServerConnection
from jackdawcrank.execution.open_primary import OpenPrimary


@attrs.define(eq=False)
class OpenTransaction:
    """An open transaction and its dedicated backend connection.

    Attributes:
      transaction_id: The id that the session assigned to the transaction.
      session_id: The id of the session.
      link: The dedicated connection.
      primary: The server and the term that the transaction runs on.
      opened_at: The opening time in seconds on the monotonic clock.
      wrote: Whether any of its statements may have written data.
      lock: Held while a statement runs, so that statements are serialized.
    """

    transaction_id: str
    session_id: str
    link: ServerConnection
    primary: OpenPrimary
    opened_at: float
    wrote: bool = False
    lock: asyncio.Lock = attrs.Factory(asyncio.Lock)
