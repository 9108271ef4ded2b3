"""The store time up to which all changes of a table are known."""

import math

import attrs

from jackdawcrank_policy.accounts.store_clock import StoreClock


@attrs.define
class ProvenTime:
    """Tracks up to which store time all changes of a table are known.

    Attributes:
      clock: Relates the store's clock to the local one.
      store_seconds: The newest time on the store's clock up to which all
        changes are known; None if there is none in the clock's epoch.
      local_seconds: The earliest local time at which the store's clock showed
        a proven time. It stays valid if the clock starts afresh.
    """

    clock: StoreClock = attrs.Factory(StoreClock)
    store_seconds: float | None = None
    local_seconds: float = -math.inf

    def exchanged(
        self, sent_at: float, store_seconds: float, epoch: int
    ) -> None:
        """Record an own call of the store.

        Args:
          sent_at: The local time before the call was sent.
          store_seconds: The store's clock in the answer.
          epoch: The store's epoch in the answer.
        """
        if self.clock.exchanged(sent_at, store_seconds, epoch):
            self.store_seconds = None

    def prove(self, store_seconds: float, epoch: int, now: float) -> bool:
        """Record that all changes up to a store time are known.

        Args:
          store_seconds: The time on the store's clock.
          epoch: The store's epoch.
          now: The local time.

        Returns:
          Whether this is a newer proof. There is none without an own call in
          the epoch, nor if the clock cannot have reached the time yet.
        """
        if epoch != self.clock.epoch or not math.isfinite(store_seconds):
            return False
        if self.clock.earliest_local(store_seconds) > now:
            # The store's clock was set back without a new epoch.
            return False
        if self.store_seconds is not None and (
            store_seconds <= self.store_seconds
        ):
            return False
        self.store_seconds = store_seconds
        self.local_seconds = max(
            self.local_seconds, self.clock.earliest_local(store_seconds)
        )
        return True
