"""What one VM knows of another."""

import attrs

from jackdawcrank_policy.membership.lease_reading import LeaseReading
from jackdawcrank_policy.values import Vm

MAX_READ_GAP_SECONDS = 30.0
MESSAGE_FRESH_SECONDS = 10.0
SUSPICION_DELAY_SECONDS = 3.0


@attrs.define
class Evidence:
    """All that is known of one VM; times are on the observer's clock.

    Attributes:
      vm: The VM's address; None until it is known.
      listed: Whether the platform's list names it.
      leaving: Whether the list, the VM or its row says that it is leaving.
      reading: The last reading of its lease row.
      read_at: When that reading was made.
      renewed_at: When the lease row was last seen to move.
      seconds_without_renewal: For how long readings, close enough to each
        other to rule out an outage between them, have shown no renewal.
      last_message_at: When a stream last carried something from it.
      streams_failed_at: Since when streams to it have failed; None if they
        work.
      boot: The id of its newest process that is known; empty if none is.
    """

    vm: Vm | None = None
    listed: bool = False
    leaving: bool = False
    reading: LeaseReading | None = None
    read_at: float = 0.0
    renewed_at: float | None = None
    seconds_without_renewal: float = 0.0
    last_message_at: float | None = None
    streams_failed_at: float | None = None
    boot: str = ""

    def record_lease(self, reading: LeaseReading, now: float) -> None:
        """Record a reading of the lease row."""
        previous, gap = self.reading, now - self.read_at
        self.reading, self.read_at = reading, now
        self.record_boot(reading.boot)
        if previous is None:
            self.seconds_without_renewal = 0.0
        elif (previous.boot, previous.counter) != (
            reading.boot,
            reading.counter,
        ):
            self.seconds_without_renewal, self.renewed_at = 0.0, now
        elif gap <= MAX_READ_GAP_SECONDS:
            self.seconds_without_renewal += gap
        else:
            self.seconds_without_renewal = 0.0
        self.leaving = self.leaving or reading.leaving

    def record_boot(self, boot: str) -> None:
        """Record the id of the VM's process; a new one is not leaving."""
        if self.boot and boot != self.boot:
            self.leaving = False
        self.boot = boot

    def record_message(self, now: float) -> None:
        """Record that a stream carried something from the VM."""
        self.last_message_at, self.streams_failed_at = now, None

    def record_stream_failure(self, now: float) -> None:
        """Record that a stream to the VM broke or could not be opened."""
        if self.streams_failed_at is None:
            self.streams_failed_at = now

    def has_recent_message(self, now: float) -> bool:
        """Return whether a stream proves the VM alive."""
        if self.last_message_at is None or self.streams_failed_at is not None:
            return False
        return now - self.last_message_at <= MESSAGE_FRESH_SECONDS

    def needs_lease_read(self, now: float) -> bool:
        """Return whether the VM's lease row should be read soon."""
        if self.streams_failed_at is not None:
            return True
        return self.has_recent_message(now) and (
            self.leaving or self.vm is None
        )

    def lease_expired(self) -> bool:
        """Return whether readings prove that the VM stopped renewing."""
        if self.reading is None:
            return False
        return self.seconds_without_renewal > self.reading.seconds

    def renewed_since(self, instant: float) -> bool:
        """Return whether the row was seen to move after an instant."""
        return self.renewed_at is not None and self.renewed_at > instant

    def alive(self, now: float) -> bool:
        """Return whether the VM should be counted as living."""
        if self.has_recent_message(now):
            return True
        if self.lease_expired():
            return False
        if self.suspected(now):
            return False
        return self.listed or self.renewed_at is not None

    def suspected(self, now: float) -> bool:
        """Return whether streams have failed and no renewal speaks for it."""
        if (
            self.streams_failed_at is None
            or now - self.streams_failed_at < SUSPICION_DELAY_SECONDS
        ):
            return False
        return not self.renewed_since(self.streams_failed_at)
