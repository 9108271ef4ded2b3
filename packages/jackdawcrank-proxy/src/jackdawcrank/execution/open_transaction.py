"""A transaction that a session has open on a home proxy."""

import asyncio

import attrs

from jackdawcrank.backend.server_connection import ServerConnection
from jackdawcrank.execution.open_primary import OpenPrimary


@attrs.define(eq=False)
class OpenTransaction:
    """A transaction on a backend connection of its own.

    Attributes:
      transaction_id: The session's id of it.
      session_id: The session.
      link: The connection.
      primary: The server and term that it runs on.
      opened_at: When it was opened, on the monotonic clock.
      wrote: Whether any of its statements may have written.
      lock: Held while a statement runs.
    """

    transaction_id: str
    session_id: str
    link: ServerConnection
    primary: OpenPrimary
    opened_at: float
    wrote: bool = False
    lock: asyncio.Lock = attrs.Factory(asyncio.Lock)
