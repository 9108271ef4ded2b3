"""Whether this process can reach the store, and the store's epoch."""

import asyncio
import contextlib

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.clocks import boot_seconds


class StoreHealth:
    """Tracks whether calls to the store succeed, and when it was restored.

    Attributes:
      lost: Whether the latest call got no usable answer.
      failures: The number of failed calls since the last usable answer.
      regained: Set and replaced whenever the store is regained.
      epoch: The store's epoch; None before its first answer.
      epoch_seen_at: When an answer of this epoch was first received, in
        seconds since boot.
    """

    def __init__(self, log: DecisionLog) -> None:
        self.log = log
        self.lost = False
        self.failures = 0
        self.regained = asyncio.Event()
        self.epoch: int | None = None
        self.epoch_seen_at = 0.0

    def record_epoch(self, epoch: int) -> None:
        """Record the epoch of an answer.

        Args:
          epoch: The epoch; one that is not above the known one is ignored.
        """
        if self.epoch is not None and epoch <= self.epoch:
            return
        if self.epoch is not None:
            self.log.event("store_restored", old_epoch=self.epoch, epoch=epoch)
        self.epoch = epoch
        self.epoch_seen_at = boot_seconds()

    def epoch_seconds(self) -> float:
        """Return for how long this process has known the present epoch."""
        return boot_seconds() - self.epoch_seen_at

    def record_success(self) -> None:
        """Record a usable answer."""
        if self.lost:
            self.log.event("store_regained", failures=self.failures)
            self.regained.set()
            self.regained = asyncio.Event()
        self.lost = False
        self.failures = 0

    async def wait_regained(self, timeout_seconds: float) -> None:
        """Wait until the store is regained, at most for a time.

        Args:
          timeout_seconds: The longest wait, in seconds.
        """
        if self.lost:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_seconds):
                    await self.regained.wait()

    def record_failure(self, detail: str) -> None:
        """Record a call that got no usable answer.

        Args:
          detail: A description of the failure for the log.
        """
        if not self.lost:
            self.log.event("store_lost", detail=detail)
        self.lost = True
        self.failures += 1
