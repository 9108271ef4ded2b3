"""Evidence that one VM has on whether another is alive."""

import attrs

from jackdawcrank_policy.membership.lease_reading import LeaseReading
from jackdawcrank_policy.values import Vm

MAX_READ_GAP_SECONDS = 30.0
MESSAGE_FRESH_SECONDS = 10.0
SUSPICION_DELAY_SECONDS = 3.0


@attrs.define
class Evidence:
    """Evidence on one VM; times are in seconds on the observer's clock.

    Attributes:
      vm: The VM's address; None if unknown.
      listed: Whether the platform's VM list contains it.
      leaving: Whether the list, the VM or its lease row reports that it is
        leaving.
      reading: The latest reading of its lease row.
      read_at: When that reading was taken.
      renewed_at: When a reading last showed a renewal of its lease.
      seconds_without_renewal: For how long readings have shown no renewal.
        A long gap between two readings resets it, since there may have been
        an outage in between.
      last_message_at: When a stream last received a message from it.
      streams_failed_at: When streams to it began to fail; None if they work.
      boot: The id of its newest known process; empty if unknown.
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
        """Record the id of the VM's process; a new process is not leaving."""
        if self.boot and boot != self.boot:
            self.leaving = False
        self.boot = boot

    def record_message(self, now: float) -> None:
        """Record that a stream received a message from the VM."""
        self.last_message_at, self.streams_failed_at = now, None

    def record_stream_failure(self, now: float) -> None:
        """Record that a stream to the VM broke or could not be opened."""
        if self.streams_failed_at is None:
            self.streams_failed_at = now

    def has_recent_message(self, now: float) -> bool:
        """Return whether a stream shows that the VM is alive."""
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
        """Return whether readings show that the VM stopped renewing."""
        if self.reading is None:
            return False
        return self.seconds_without_renewal > self.reading.seconds

    def renewed_since(self, instant: float) -> bool:
        """Return whether a lease renewal was seen after an instant."""
        return self.renewed_at is not None and self.renewed_at > instant

    def alive(self, now: float) -> bool:
        """Return whether the VM counts as alive."""
        if self.has_recent_message(now):
            return True
        if self.lease_expired():
            return False
        if self.suspected(now):
            return False
        return self.listed or self.renewed_at is not None

    def suspected(self, now: float) -> bool:
        """Return whether streams failed and no lease renewal followed."""
        if (
            self.streams_failed_at is None
            or now - self.streams_failed_at < SUSPICION_DELAY_SECONDS
        ):
            return False
        return not self.renewed_since(self.streams_failed_at)
