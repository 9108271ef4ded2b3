"""Whether this process can reach the store, and the store's epoch."""

import asyncio
from collections.abc import Callable

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.await_event import await_event
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank_policy.succession import ListingCompleteness


class StoreHealth:
    """Tracks whether calls to the store succeed, and when it was restored.

    Attributes:
      lost: Whether the latest call got no usable answer.
      lost_at: When the store was last lost, in seconds since boot.
      failures: The number of failed calls since the last usable answer.
      probed: Whether a follower calls the lost store again and again, so that
        others need not.
      regained: Set and replaced whenever the store is regained.
      hinted: Set and replaced whenever another process reaches the store.
      on_regained: Called with the length of the outage in seconds whenever the
        store is regained.
      epoch: The store's epoch; None before its first answer.
      epoch_seen_at: When an answer of this epoch was first received, in
        seconds since boot.
      listing: Whether every running server has an entry in the store.
    """

    def __init__(self, log: DecisionLog) -> None:
        self.log = log
        self.lost = False
        self.lost_at = 0.0
        self.failures = 0
        self.probed = False
        self.regained = asyncio.Event()
        self.hinted = asyncio.Event()
        self.on_regained: Callable[[float], None] = lambda _seconds: None
        self.epoch: int | None = None
        self.epoch_seen_at = 0.0
        self.listing = ListingCompleteness()

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
        failures, was_lost = self.failures, self.lost
        self.lost = False
        self.probed = False
        self.failures = 0
        self.listing.store_answered(boot_seconds())
        if was_lost:
            self.log.event("store_regained", failures=failures)
            self.regained.set()
            self.regained = asyncio.Event()
            self.on_regained(boot_seconds() - self.lost_at)

    async def wait_regained(self, timeout_seconds: float) -> None:
        """Wait until the store is regained, at most for a time.

        Args:
          timeout_seconds: The longest wait, in seconds.
        """
        if self.lost:
            await await_event(self.regained, timeout_seconds)

    async def wait_hinted(self, timeout_seconds: float) -> None:
        """Wait until another process reaches the store, at most for a time.

        Args:
          timeout_seconds: The longest wait, in seconds.
        """
        await await_event(self.hinted, timeout_seconds)

    def record_hint(self) -> None:
        """Record that another process reaches the store.

        Whether this process reaches it, too, only a call of its own can show.
        """
        if self.lost:
            self.hinted.set()
            self.hinted = asyncio.Event()

    def record_failure(self, detail: str) -> None:
        """Record a call that got no usable answer.

        Args:
          detail: A description of the failure for the log.
        """
        if not self.lost:
            self.log.event("store_lost", detail=detail)
            self.lost_at = boot_seconds()
        self.lost = True
        self.failures += 1
        self.listing.store_lost()
