import asyncio

from jackdawcrank_standins.backend.write_lock import WriteLock


async def test_owners_get_the_lock_in_order() -> None:
    lock = WriteLock()
    assert await lock.acquire("a", 0)
    waiting = [asyncio.create_task(lock.acquire(name, 60)) for name in "bc"]
    await asyncio.sleep(0)
    lock.release("b")
    assert lock.holder == "a"
    lock.release("a")
    assert lock.holder == "b"
    lock.release("b")
    assert await asyncio.gather(*waiting) == [True, True]
    assert lock.holder == "c"


async def test_a_wait_that_ends_leaves_no_trace() -> None:
    lock = WriteLock()
    await lock.acquire("a", 0)
    assert not await lock.acquire("b", 0)
    lock.release("a")
    assert lock.holder is None


async def test_a_cancelled_owner_passes_the_lock_on() -> None:
    lock = WriteLock()
    await lock.acquire("a", 0)
    first = asyncio.create_task(lock.acquire("b", 60))
    second = asyncio.create_task(lock.acquire("c", 60))
    await asyncio.sleep(0)
    lock.release("a")
    first.cancel()
    assert await second
    assert lock.holder == "c"
