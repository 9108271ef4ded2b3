import asyncio

from jackdawcrank.tasks import cancel_and_wait

FAR_ABOVE_SECONDS = 10.0


async def ignore_first_cancellation(ended: list[str]) -> None:
    """Lose one cancellation, as `asyncio.wait_for` may, and go on."""
    try:
        await asyncio.sleep(FAR_ABOVE_SECONDS)
    except asyncio.CancelledError:
        ended.append("ignored")
    try:
        await asyncio.sleep(FAR_ABOVE_SECONDS)
    finally:
        ended.append("ended")


async def test_lost_cancellation_is_repeated() -> None:
    ended: list[str] = []
    task = asyncio.create_task(ignore_first_cancellation(ended))
    await asyncio.sleep(0)
    async with asyncio.timeout(FAR_ABOVE_SECONDS / 2):
        await cancel_and_wait([task])
    assert task.done()
    assert ended == ["ignored", "ended"]


async def test_error_of_a_cancelled_task_is_not_raised() -> None:
    async def fail_on_cancel() -> None:
        try:
            await asyncio.sleep(FAR_ABOVE_SECONDS)
        finally:
            raise OSError("closing failed")

    task = asyncio.create_task(fail_on_cancel())
    await asyncio.sleep(0)
    await cancel_and_wait([task])
    assert isinstance(task.exception(), OSError)


async def test_nothing_to_cancel() -> None:
    await cancel_and_wait([])
