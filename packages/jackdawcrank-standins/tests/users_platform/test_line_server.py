import asyncio
import socket

import pytest

from jackdawcrank_standins.users_platform import StandinPlatform


@pytest.mark.parametrize("turns", range(8))
async def test_crashed_server_serves_no_connection_it_was_accepting(
    turns: int,
) -> None:
    # A crashed primary went on acknowledging writes on such a connection.
    platform = StandinPlatform()
    await platform.start()
    server = platform.groups["plots"].primary()
    assert server is not None
    with socket.create_connection(("127.0.0.1", server.port)) as caller:
        for _ in range(turns):
            await asyncio.sleep(0)
        await server.close()
        try:
            caller.send(b"CONNECT plots x\r\n")
            caller.setblocking(False)
            async with asyncio.timeout(0.5):
                loop = asyncio.get_running_loop()
                received = await loop.sock_recv(caller, 100)
        except (ConnectionError, TimeoutError):
            received = b""
    assert received == b""
    await platform.close()
