"""Waiting for a server's answer."""

import asyncio

from jackdawcrank.seams.replies import Reply
from jackdawcrank.seams.server_connection import ConnectionLostError


async def await_result(
    future: asyncio.Future[Reply], deadline: float
) -> Reply | None:
    """Return the reply to a caller's statement, or None if there is none.

    A success without the server's signature answers another command, so the
    answer in between was lost.

    Args:
      future: The reply to come.
      deadline: When to give up, in seconds on the loop's clock.
    """
    reply = await await_reply(future, deadline)
    if reply is not None and reply.problem is None and not reply.signature:
        return None
    return reply


async def await_reply(
    future: asyncio.Future[Reply], deadline: float
) -> Reply | None:
    """Return a reply, or None if the link ended or the time ran out.

    Args:
      future: The reply to come.
      deadline: When to give up, in seconds on the loop's clock.
    """
    try:
        async with asyncio.timeout_at(deadline):
            return await future
    except (TimeoutError, ConnectionLostError):
        return None
