"""Structured log on standard output with a bounded, non-blocking buffer."""

import collections
import json
import os
import time
import typing

from jackdawcrank.decisions.measurements import Measurements
from jackdawcrank.timer.subscription import Subscription
from jackdawcrank.timer.timer import Timer

# The longest time a line stays in the buffer; a crash loses only these lines.
FLUSH_SECONDS = 0.2
# About 200 bytes per line: 400 KB if standard output is not being read.
MAX_BUFFERED_LINES = 2_000
# Limit of routine lines per flush interval. Lines about failures do not count
# towards it.
MAX_ROUTINE_LINES = 40
STANDARD_OUTPUT = 1


class DecisionLog:
    """Writes events as JSON objects, one per line.

    Routine events above `MAX_ROUTINE_LINES` per flush interval are counted but
    not logged. Lines about failures are dropped only if the buffer is full.

    Attributes:
      vm: The name of the VM, part of every line.
      measurements: Counts events and answers for the metrics.
      pending: Lines buffered since the last flush.
      routine_count: Routine events since the last flush.
      dropped: Lines dropped since the last `lines_dropped` event.
      unwritten: Bytes of flushed lines that standard output has not accepted.
    """

    def __init__(self, vm: str, descriptor: int = STANDARD_OUTPUT) -> None:
        self.vm = vm
        self.measurements = Measurements()
        self.descriptor = descriptor
        self.pending: collections.deque[bytes] = collections.deque()
        self.routine_count = 0
        self.dropped = 0
        self.unwritten = b""
        self.subscription: Subscription | None = None

    async def start(self, timer: Timer) -> None:
        """Start flushing periodically.

        Args:
          timer: Triggers the flushes.
        """
        os.set_blocking(self.descriptor, False)
        self.subscription = timer.subscribe(
            "decision log", FLUSH_SECONDS, self.flush
        )

    async def close(self) -> None:
        """Stop the flushes and write what the output accepts without blocking."""
        if self.subscription:
            self.subscription.close()
        self.write_out()

    def event(self, name: str, **fields: typing.Any) -> None:
        """Log a failure or a change of state.

        Args:
          name: The event's name.
          **fields: The inputs that decided it, and the outcome.
        """
        self.measurements.event(name)
        self.enqueue(name, fields)

    def enqueue(self, name: str, fields: dict[str, typing.Any]) -> None:
        """Add a line to the buffer; drop it if the buffer is full."""
        if len(self.pending) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        line = {"at": round(time.time(), 3), "vm": self.vm, "event": name}
        line.update(fields)
        self.pending.append(json.dumps(line, default=str).encode() + b"\n")

    def routine(self, name: str, **fields: typing.Any) -> None:
        """Log a routine decision unless the rate limit is exceeded.

        Args:
          name: The event's name.
          **fields: The inputs that decided it, and the outcome.
        """
        self.measurements.event(name)
        self.routine_count += 1
        if self.routine_count > MAX_ROUTINE_LINES:
            self.dropped += 1
            return
        self.enqueue(name, fields)

    async def flush(self, _now: float) -> None:
        """Write as much as the output accepts without blocking.

        Args:
          _now: The time of the timer, unused.
        """
        self.write_out()

    def write_out(self) -> None:
        """Write as much as the output accepts without blocking."""
        self.routine_count = 0
        if self.dropped and len(self.pending) < MAX_BUFFERED_LINES:
            count, self.dropped = self.dropped, 0
            self.event("lines_dropped", count=count)
        self.unwritten += b"".join(self.pending)
        self.pending.clear()
        if not self.unwritten:
            return
        try:
            written = os.write(self.descriptor, self.unwritten)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the pipe, so there is no place to report it.
            written = len(self.unwritten)
        self.unwritten = self.unwritten[written:]
        if len(self.unwritten) > MAX_BUFFERED_LINES * 200:
            self.dropped += self.unwritten.count(b"\n")
            self.unwritten = b""
