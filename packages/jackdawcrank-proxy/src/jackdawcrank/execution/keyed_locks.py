"""Locks by key, which exist only while they are in use."""

import asyncio
import contextlib
from collections.abc import AsyncIterator


class KeyedLocks:
    """A set of locks, one for each key.

    Attributes:
      locks: The locks in use by key, each with the number of tasks that hold
        it or wait for it.
    """

    def __init__(self) -> None:
        self.locks: dict[str, tuple[asyncio.Lock, int]] = {}

    @contextlib.asynccontextmanager
    async def acquire(self, key: str) -> AsyncIterator[None]:
        """Hold the lock of a key for the duration of the context.

        Args:
          key: The key to lock.
        """
        lock, users = self.locks.get(key, (asyncio.Lock(), 0))
        self.locks[key] = (lock, users + 1)
        try:
            async with lock:
                yield
        finally:
            self._release(key)

    def _release(self, key: str) -> None:
        lock, users = self.locks[key]
        if users == 1:
            del self.locks[key]
        else:
            self.locks[key] = (lock, users - 1)
