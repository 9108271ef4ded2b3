"""Tests of hostile or broken callers, who must harm nobody else."""

import asyncio
from typing import Any

import pymysql
import pytest

pytestmark = pytest.mark.asyncio(loop_scope="module")

READ_SECONDS = 5.0


async def answer_to(callers: Any, data: bytes) -> bytes:
    """Send bytes after the greeting; return what follows until the end."""
    address = callers.address("vm1")
    reader, writer = await asyncio.open_connection(
        address["host"], address["port"]
    )
    header = await reader.readexactly(4)
    await reader.readexactly(int.from_bytes(header[:3], "little"))
    writer.write(data)
    writer.write_eof()
    try:
        async with asyncio.timeout(READ_SECONDS):
            return await reader.read()
    finally:
        writer.close()


async def still_serves(callers: Any) -> bool:
    def script(callers: Any) -> Any:
        cursor = callers.pymysql("vm1").cursor()
        cursor.execute("SELECT 41 + 1")
        return cursor.fetchone()[0]

    return bool(await callers.run(script) == 42)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x00",
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"\xff" * 64,
        b"\x05\x00\x00\x01abc",
        b"\x00\x00\x00\x01",
        b"\x20\x00\x00\x01" + b"\x00" * 32,
    ],
)
async def test_garbage_closes_its_connection_only(
    callers: Any, data: bytes
) -> None:
    await answer_to(callers, data)
    assert await still_serves(callers)


async def test_oversized_statement_is_refused(callers: Any) -> None:
    limit = callers.system.proxies["vm1"].settings.max_statement_bytes

    def script(callers: Any) -> Any:
        connection = callers.pymysql(
            max_allowed_packet=4 * limit, read_timeout=READ_SECONDS
        )
        with pytest.raises(pymysql.MySQLError) as caught:
            connection.cursor().execute("SELECT '" + "x" * limit + "'")
        return caught.value.args[0]

    code = await callers.run(script)
    assert code in (1153, 2006, 2013)
    assert callers.executed("xxxxxxxxxx") == 0
    assert await still_serves(callers)


async def test_unknown_group_is_named(callers: Any) -> None:
    def script(callers: Any) -> Any:
        cursor = callers.pymysql(database="nowhere").cursor()
        with pytest.raises(pymysql.MySQLError) as caught:
            cursor.execute("SELECT * FROM t")
        return caught.value.args

    code, message = await callers.run(script)
    assert code == 1049
    assert "nowhere" in message
