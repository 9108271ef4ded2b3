"""Lets one transaction write at a time."""

import asyncio
import collections

import attrs


@attrs.define
class WriteLock:
    """A first-come, first-served lock with a timeout.

    Attributes:
      holder: Who holds the lock, if anyone does.
      waiters: Who waits for it, in order.
    """

    holder: object | None = None
    waiters: collections.deque[tuple[object, asyncio.Future[None]]] = (
        attrs.field(factory=collections.deque)
    )

    async def acquire(self, owner: object, timeout_seconds: float) -> bool:
        """Wait until the owner holds the lock; return whether it does.

        Args:
          owner: Who asks.
          timeout_seconds: How long to wait at most.
        """
        if self.holder is None and not self.waiters:
            self.holder = owner
            return True
        future = asyncio.get_running_loop().create_future()
        self.waiters.append((owner, future))
        try:
            async with asyncio.timeout(timeout_seconds):
                await future
        except TimeoutError:
            return self.settle(owner, future)
        except asyncio.CancelledError:
            if self.settle(owner, future):
                self.release(owner)
            raise
        return True

    def settle(self, owner: object, future: asyncio.Future[None]) -> bool:
        """Stop waiting; return whether the owner got the lock after all."""
        if (owner, future) in self.waiters:
            self.waiters.remove((owner, future))
        return self.holder is owner

    def release(self, owner: object) -> None:
        """Give the lock to the next waiter, if the owner holds it."""
        if self.holder is not owner:
            return
        self.holder = None
        while self.waiters:
            successor, future = self.waiters.popleft()
            if not future.done():
                self.holder = successor
                future.set_result(None)
                return
