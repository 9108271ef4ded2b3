"""Waiting for a server's answer."""

import asyncio

from jackdawcrank.seams.replies import Reply
from jackdawcrank.seams.server_link import LinkLostError


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
    except (TimeoutError, LinkLostError):
        return None
