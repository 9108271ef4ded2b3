"""Locks by name, kept only while they are used."""

import asyncio
import contextlib
from collections.abc import AsyncIterator


class KeyedLocks:
    """One lock for each key.

    Attributes:
      locks: The locks in use, with the number of their users.
    """

    def __init__(self) -> None:
        self.locks: dict[str, tuple[asyncio.Lock, int]] = {}

    @contextlib.asynccontextmanager
    async def acquire(self, key: str) -> AsyncIterator[None]:
        """Hold a key's lock.

        Args:
          key: The key.
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
