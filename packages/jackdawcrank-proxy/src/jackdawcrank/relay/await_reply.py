"""Waiting for replies of backend servers."""

import asyncio

from jackdawcrank.seams.replies import Reply
from jackdawcrank.seams.server_connection import ConnectionLostError


async def await_result(
    future: asyncio.Future[Reply], deadline: float
) -> Reply | None:
    """Return the reply to a caller's statement, or None if there is none.

    A successful reply without the server's signature belongs to another
    command, which means that the statement's own reply was lost.

    Args:
      future: Receives the reply.
      deadline: End of the wait, in seconds on the loop's clock.
    """
    reply = await await_reply(future, deadline)
    if reply is not None and reply.problem is None and not reply.signature:
        return None
    return reply


async def await_reply(
    future: asyncio.Future[Reply], deadline: float
) -> Reply | None:
    """Return a reply, or None on a lost connection or a passed deadline.

    Args:
      future: Receives the reply.
      deadline: End of the wait, in seconds on the loop's clock.
    """
    try:
        async with asyncio.timeout_at(deadline):
            return await future
    except (TimeoutError, ConnectionLostError):
        return None
