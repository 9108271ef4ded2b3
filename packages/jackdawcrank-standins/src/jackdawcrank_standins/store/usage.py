"""Counts what the platform's service is asked."""

import collections

import attrs

WINDOW_SECONDS = 600


@attrs.define
class Rate:
    """Counts events by second.

    Attributes:
      total: All events.
      by_second: The events of each of the latest seconds.
    """

    total: int = 0
    by_second: collections.OrderedDict[int, int] = attrs.field(
        factory=collections.OrderedDict
    )

    def add(self, now: float) -> None:
        """Count one event."""
        second = int(now)
        self.total += 1
        self.by_second[second] = self.by_second.get(second, 0) + 1
        if len(self.by_second) > WINDOW_SECONDS:
            self.by_second.popitem(last=False)

    @property
    def peak(self) -> int:
        """Return the most events within one second."""
        return max(self.by_second.values(), default=0)


@attrs.define
class Usage:
    """What the service was asked.

    Attributes:
      reads: Reads of rows, objects and the list of VMs.
      writes: Transactions, and changes of objects.
      rows_written: Rows that the transactions wrote or deleted.
      refused: Requests that got no service because of a fault.
      bytes_in: Bytes of request bodies.
      bytes_out: Bytes of response bodies.
    """

    reads: Rate = attrs.field(factory=Rate)
    writes: Rate = attrs.field(factory=Rate)
    rows_written: int = 0
    refused: int = 0
    bytes_in: int = 0
    bytes_out: int = 0

    def as_json(self) -> dict[str, int]:
        """Return the counts as a JSON object."""
        return {
            "reads": self.reads.total,
            "peak_reads_per_second": self.reads.peak,
            "writes": self.writes.total,
            "peak_writes_per_second": self.writes.peak,
            "rows_written": self.rows_written,
            "refused": self.refused,
            "bytes_in": self.bytes_in,
            "bytes_out": self.bytes_out,
        }
