"""Test of the server for callers."""

import asyncio
import socket
from typing import Any

from jackdawcrank.front.front_server import FrontServer

TIMEOUT_SECONDS = 5.0


async def test_connection_that_is_handled_after_a_drain_began_is_refused() -> (
    None
):
    """Guards against statements that are cut at the end of a shutdown.

    A connection that is accepted just before the drain begins is handled a few
    iterations of the event loop later. The drain does not know it, so that it
    would be served until the proxy stops.
    """
    router: Any = None
    front = FrontServer(
        "127.0.0.1", 0, (), router, "vm1:0", 1024, 8, TIMEOUT_SECONDS
    )
    await front.start()
    accepted, caller = socket.socketpair()
    protocol = front._make_protocol()
    await front.drain(TIMEOUT_SECONDS)
    loop = asyncio.get_running_loop()
    await loop.connect_accepted_socket(lambda: protocol, accepted)
    reader, writer = await asyncio.open_connection(sock=caller)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        answer = await reader.read()
    writer.close()
    await front.close()
    assert b"not_run: shutting_down" in answer
