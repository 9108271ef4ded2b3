"""Tests of callers that are too slow to be waited for."""

import asyncio
from typing import Any

READ_SECONDS = 5.0


async def test_login_that_never_comes_is_cut_off(own_callers: Any) -> None:
    own_callers.system.proxies["vm1"].front.login_timeout_seconds = 0.05
    address = own_callers.address("vm1")
    reader, writer = await asyncio.open_connection(**address)
    writer.write(b"\x30\x00\x00")
    async with asyncio.timeout(READ_SECONDS):
        greeting = await reader.read()
    writer.close()
    assert greeting[4:5] == b"\x0a"
