import asyncio

import pytest

from jackdawcrank_standins.backend.write_lock import WriteLock


@pytest.fixture
def owners() -> list[object]:
    return [object() for _ in range(3)]


async def test_owners_get_the_lock_in_order(owners: list[object]) -> None:
    lock = WriteLock()
    first, second, third = owners
    assert await lock.acquire(first, 0)
    waiting = [
        asyncio.create_task(lock.acquire(owner, 60))
        for owner in (second, third)
    ]
    await asyncio.sleep(0)
    lock.release(second)
    assert lock.holder is first
    lock.release(first)
    assert lock.holder is second
    lock.release(second)
    assert await asyncio.gather(*waiting) == [True, True]
    assert lock.holder is third


async def test_a_wait_that_ends_leaves_no_trace(owners: list[object]) -> None:
    lock = WriteLock()
    await lock.acquire(owners[0], 0)
    assert not await lock.acquire(owners[1], 0)
    lock.release(owners[0])
    assert lock.holder is None


async def test_a_cancelled_owner_passes_the_lock_on(
    owners: list[object],
) -> None:
    lock = WriteLock()
    await lock.acquire(owners[0], 0)
    first = asyncio.create_task(lock.acquire(owners[1], 60))
    second = asyncio.create_task(lock.acquire(owners[2], 60))
    await asyncio.sleep(0)
    lock.release(owners[0])
    first.cancel()
    assert await second
    assert lock.holder is owners[2]
