"""Relation of the store's clock to the local one."""

import math

import attrs

# Clocks of machines differ by at most 500 ppm in speed.
MAX_DRIFT_SHARE = 500e-6


@attrs.define
class StoreClock:
    """Bounds the local time at which the store's clock showed a value.

    A call that was sent at local time `sent_at` and answered with the store's
    clock was answered no earlier than it was sent. The clock therefore reached
    the answered value at `sent_at` or later.

    Local times are in seconds on a clock that counts suspended time.

    Attributes:
      epoch: The store's epoch of the calls; None before the first call.
      sent_at: When the call with the best bound was sent.
      store_seconds: The store's clock in the answer to that call.
      newest_store_seconds: The store's clock in the latest answer.
    """

    epoch: int | None = None
    sent_at: float = 0.0
    store_seconds: float = 0.0
    newest_store_seconds: float = 0.0

    def exchanged(
        self, sent_at: float, store_seconds: float, epoch: int
    ) -> bool:
        """Record a call, which must have been sent after the last answer.

        Args:
          sent_at: The local time before the call was sent.
          store_seconds: The store's clock in the answer.
          epoch: The store's epoch in the answer.

        Returns:
          Whether earlier calls no longer count, since the store was restored or
          its clock was set back.
        """
        restarted = (
            epoch != self.epoch or store_seconds < self.newest_store_seconds
        )
        self.newest_store_seconds = store_seconds
        if restarted or sent_at >= self.earliest_local(store_seconds):
            self.epoch = epoch
            self.sent_at = sent_at
            self.store_seconds = store_seconds
        return restarted

    def earliest_local(self, store_seconds: float) -> float:
        """Return the earliest local time at which the clock showed a value.

        Args:
          store_seconds: The value, of the same epoch as the calls.
        """
        if self.epoch is None:
            return -math.inf
        distance = store_seconds - self.store_seconds
        return self.sent_at + distance - abs(distance) * MAX_DRIFT_SHARE
