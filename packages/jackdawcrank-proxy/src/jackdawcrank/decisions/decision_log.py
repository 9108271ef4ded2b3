"""Structured lines on standard output, bounded and never waited for."""

import collections
import json
import os
import time
import typing

from jackdawcrank.decisions.measurements import Measurements
from jackdawcrank.timer.subscription import Subscription
from jackdawcrank.timer.timer import Timer

# Lines wait at most this long, so that a crash loses little.
FLUSH_SECONDS = 0.2
# About 200 bytes a line: 400 KB where standard output is not read.
MAX_BUFFERED_LINES = 2_000
# Ordinary lines in one flush interval; what goes wrong is always kept.
MAX_ROUTINE_LINES = 40
STANDARD_OUTPUT = 1


class DecisionLog:
    """Writes one JSON object a line.

    Ordinary decisions are counted and left out when there are too many; lines
    about failures are kept as long as the buffer has room.

    Attributes:
      vm: The process's name in every line.
      measurements: Counts the events and the answers.
      pending: Lines that are not written yet.
      routine_count: Ordinary lines since the last flush.
      dropped: Lines that were left out since the last report of it.
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
        """Begin to write.

        Args:
          timer: Calls the log back.
        """
        os.set_blocking(self.descriptor, False)
        self.subscription = timer.subscribe(
            "decision log", FLUSH_SECONDS, self.flush
        )

    async def close(self) -> None:
        """Write what the reader takes without waiting."""
        if self.subscription:
            self.subscription.close()
        self.write_out()

    def event(self, name: str, **fields: typing.Any) -> None:
        """Keep a line about a failure or a change of belief.

        Args:
          name: The event's name.
          **fields: The inputs that decided it, and the outcome.
        """
        self.measurements.event(name)
        self.enqueue(name, fields)

    def enqueue(self, name: str, fields: dict[str, typing.Any]) -> None:
        """Keep a line if the buffer has room."""
        if len(self.pending) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        line = {"at": round(time.time(), 3), "vm": self.vm, "event": name}
        line.update(fields)
        self.pending.append(json.dumps(line, default=str).encode() + b"\n")

    def routine(self, name: str, **fields: typing.Any) -> None:
        """Keep a line about an ordinary decision, if there are few.

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
        """Write as much as the reader takes.

        Args:
          _now: The timer's time.
        """
        self.write_out()

    def write_out(self) -> None:
        """Write as much as the reader takes."""
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
            # Nobody reads any more; there is nowhere to say so.
            written = len(self.unwritten)
        self.unwritten = self.unwritten[written:]
        if len(self.unwritten) > MAX_BUFFERED_LINES * 200:
            self.dropped += self.unwritten.count(b"\n")
            self.unwritten = b""
