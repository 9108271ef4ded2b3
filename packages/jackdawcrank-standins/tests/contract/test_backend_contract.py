"""What a database group promises, for any implementation of it."""

import re
from typing import Any

import asyncmy.errors
import pytest

POSITION = re.compile(rb"position=(\d+):(\d+)")
LONG_SECONDS = 5


async def refused(endpoint: Any, sql: str) -> tuple[int, str]:
    """Return code and message of the error that a statement gets."""
    with pytest.raises(asyncmy.errors.MySQLError) as caught:
        await endpoint.run(sql)
    return caught.value.args[0], caught.value.args[1]


async def written(primary: Any, table: str) -> tuple[int, int]:
    """Create a table, write a row, and return the row's position."""
    await primary.run(f"CREATE TABLE {table} (id INT PRIMARY KEY)")
    info = await primary.info(f"INSERT INTO {table} VALUES (1)")
    match = POSITION.search(info)
    assert match is not None
    return int(match[1]), int(match[2])


async def test_a_write_tells_its_position(primary: Any, unique: str) -> None:
    term, offset = await written(primary, unique)
    assert term == await primary.term()
    assert await primary.position() == f"{term}:{offset}"
    info = await primary.info(f"INSERT INTO {unique} VALUES (2)")
    assert f"position={term}:{offset + 1}".encode() in info


async def test_a_commit_tells_its_position(primary: Any, unique: str) -> None:
    term, offset = await written(primary, unique)
    await primary.run("BEGIN")
    assert not POSITION.search(
        await primary.info(f"INSERT INTO {unique} VALUES (2)")
    )
    info = await primary.info("COMMIT")
    assert f"position={term}:{offset + 1}".encode() in info


async def test_replicas_apply_and_refuse(
    primary: Any, endpoints: list[Any], unique: str
) -> None:
    term, offset = await written(primary, unique)
    wait = f"SELECT WAIT_FOR_LOG_POSITION('{term}:{offset}', {LONG_SECONDS})"
    for replica in endpoints[1:]:
        assert await replica.run(wait) == ((term,),)
        assert await replica.run(f"SELECT id FROM {unique}") == ((1,),)
        code, _ = await refused(replica, f"INSERT INTO {unique} VALUES (2)")
        assert code == 1290


async def test_a_wait_for_a_far_position_ends(
    primary: Any, endpoints: list[Any]
) -> None:
    term = await primary.term()
    far = f"SELECT WAIT_FOR_LOG_POSITION('{term}:999999999', 0.01)"
    assert await endpoints[1].run(far) == ((None,),)


async def test_the_state_comes_in_one_column(primary: Any) -> None:
    rows = await primary.run(
        "SELECT CONCAT_WS(' ', @@group_term, @@group_role, @@log_position,"
        " @@group_caught_up) AS report"
    )
    position = await primary.position()
    assert rows == ((f"{await primary.term()} primary {position} 1",),)


async def test_a_fence_never_sinks(primary: Any) -> None:
    term = await primary.term()
    await primary.run(f"SET GLOBAL group_term = {term}")
    code, message = await refused(
        primary, f"SET GLOBAL group_term = {term - 1}"
    )
    assert (code, "fence_too_low" in message) == (1105, True)


async def test_a_raised_fence_ends_open_transactions(
    primary: Any, unique: str
) -> None:
    term, offset = await written(primary, unique)
    await primary.run("BEGIN")
    await primary.run(f"INSERT INTO {unique} VALUES (2)")
    await primary.run(f"SET GLOBAL group_term = {term + 1}")
    code, _ = await refused(primary, "COMMIT")
    assert code == 1290
    code, message = await refused(
        primary, f"SET GLOBAL group_primary = '{term + 1}:0:{primary.name}'"
    )
    assert (code, "log_position_mismatch" in message) == (1105, True)
    await primary.run(
        f"SET GLOBAL group_primary = '{term + 1}:{offset}:{primary.name}'"
    )
    info = await primary.info(f"INSERT INTO {unique} VALUES (3)")
    assert f"position={term + 1}:{offset + 1}".encode() in info
    assert await primary.run(f"SELECT id FROM {unique} ORDER BY id") == (
        (1,),
        (3,),
    )


async def test_a_replica_follows_a_new_primary(
    primary: Any, endpoints: list[Any], unique: str
) -> None:
    term, offset = await written(primary, unique)
    new = endpoints[1]
    wait = "SELECT WAIT_FOR_LOG_POSITION('{}:{}', {})"
    await new.run(wait.format(term, offset, LONG_SECONDS))
    for endpoint in endpoints:
        await endpoint.run(f"SET GLOBAL group_term = {term + 1}")
    for endpoint in endpoints:
        await endpoint.run(
            f"SET GLOBAL group_primary = '{term + 1}:{offset}:{new.name}'"
        )
    await new.run(f"INSERT INTO {unique} VALUES (2)")
    follow = wait.format(term + 1, offset + 1, LONG_SECONDS)
    assert await primary.run(follow) == ((term + 1,),)
    assert await primary.run(f"SELECT id FROM {unique} ORDER BY id") == (
        (1,),
        (2,),
    )
