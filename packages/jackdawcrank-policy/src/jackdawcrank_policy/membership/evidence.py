"""What one VM knows of another."""

import attrs

from jackdawcrank_policy.membership.lease_reading import LeaseReading
from jackdawcrank_policy.values import Vm

MAX_READING_GAP_SECONDS = 30.0
STREAM_FRESH_SECONDS = 10.0
SUSPECT_SECONDS = 3.0


@attrs.define
class Evidence:
    """All that is known of one VM; times are on the observer's clock.

    Attributes:
      vm: The VM's address; None until it is known.
      listed: Whether the platform's list names it.
      leaving: Whether the list, the VM or its row says that it is leaving.
      reading: The last reading of its lease row.
      read_at: When that reading was made.
      advanced_at: When the lease row was last seen to move.
      idle_seconds: For how long readings, close enough to each other to
        rule out an outage between them, have shown no renewal.
      heard_at: When a stream last carried something from it.
      failed_at: Since when streams to it have failed; None if they work.
      boot: The id of its newest process that is known; empty if none is.
    """

    vm: Vm | None = None
    listed: bool = False
    leaving: bool = False
    reading: LeaseReading | None = None
    read_at: float = 0.0
    advanced_at: float | None = None
    idle_seconds: float = 0.0
    heard_at: float | None = None
    failed_at: float | None = None
    boot: str = ""

    def note_lease(self, reading: LeaseReading, now: float) -> None:
        """Record a reading of the lease row."""
        known, gap = self.reading, now - self.read_at
        self.reading, self.read_at = reading, now
        self.note_boot(reading.boot)
        if known is None:
            self.idle_seconds = 0.0
        elif (known.boot, known.counter) != (reading.boot, reading.counter):
            self.idle_seconds, self.advanced_at = 0.0, now
        elif gap <= MAX_READING_GAP_SECONDS:
            self.idle_seconds += gap
        else:
            self.idle_seconds = 0.0
        self.leaving = self.leaving or reading.leaving

    def note_boot(self, boot: str) -> None:
        """Record the id of the VM's process; a new one is not leaving."""
        if self.boot and boot != self.boot:
            self.leaving = False
        self.boot = boot

    def note_heard(self, now: float) -> None:
        """Record that a stream carried something from the VM."""
        self.heard_at, self.failed_at = now, None

    def note_failed(self, now: float) -> None:
        """Record that a stream to the VM broke or could not be opened."""
        if self.failed_at is None:
            self.failed_at = now

    def heard_lately(self, now: float) -> bool:
        """Return whether a stream proves the VM alive."""
        if self.heard_at is None or self.failed_at is not None:
            return False
        return now - self.heard_at <= STREAM_FRESH_SECONDS

    def in_doubt(self, now: float) -> bool:
        """Return whether the VM's lease row should be read soon."""
        if self.failed_at is not None:
            return True
        return self.heard_lately(now) and (self.leaving or self.vm is None)

    def lease_expired(self) -> bool:
        """Return whether readings prove that the VM stopped renewing."""
        if self.reading is None:
            return False
        return self.idle_seconds > self.reading.seconds

    def lease_moved_since(self, instant: float) -> bool:
        """Return whether the row was seen to move after an instant."""
        return self.advanced_at is not None and self.advanced_at > instant

    def alive(self, now: float) -> bool:
        """Return whether the VM should be counted as living."""
        if self.heard_lately(now):
            return True
        if self.lease_expired():
            return False
        if self.suspected(now):
            return False
        return self.listed or self.advanced_at is not None

    def suspected(self, now: float) -> bool:
        """Return whether streams have failed and no renewal speaks for it."""
        if self.failed_at is None or now - self.failed_at < SUSPECT_SECONDS:
            return False
        return not self.lease_moved_since(self.failed_at)
