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
MAX_WAITING_LINES = 2_000
# Ordinary lines in one flush interval; what goes wrong is always kept.
MAX_ORDINARY_LINES = 40
STANDARD_OUTPUT = 1


class DecisionLog:
    """Writes one JSON object a line.

    Ordinary decisions are counted and left out when there are too many; lines
    about failures are kept as long as the buffer has room.

    Attributes:
      vm: The process's name in every line.
      measurements: Counts the events and the answers.
      waiting: Lines that are not written yet.
      ordinary: Ordinary lines since the last flush.
      dropped: Lines that were left out since the last report of it.
    """

    def __init__(self, vm: str, descriptor: int = STANDARD_OUTPUT) -> None:
        self.vm = vm
        self.measurements = Measurements()
        self.descriptor = descriptor
        self.waiting: collections.deque[bytes] = collections.deque()
        self.ordinary = 0
        self.dropped = 0
        self.rest = b""
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
        self.keep(name, fields)

    def keep(self, name: str, fields: dict[str, typing.Any]) -> None:
        """Keep a line if the buffer has room."""
        if len(self.waiting) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        line = {"at": round(time.time(), 3), "vm": self.vm, "event": name}
        line.update(fields)
        self.waiting.append(json.dumps(line, default=str).encode() + b"\n")

    def routine(self, name: str, **fields: typing.Any) -> None:
        """Keep a line about an ordinary decision, if there are few.

        Args:
          name: The event's name.
          **fields: The inputs that decided it, and the outcome.
        """
        self.measurements.event(name)
        self.ordinary += 1
        if self.ordinary > MAX_ORDINARY_LINES:
            self.dropped += 1
            return
        self.keep(name, fields)

    async def flush(self, _now: float) -> None:
        """Write as much as the reader takes.

        Args:
          _now: The timer's time.
        """
        self.write_out()

    def write_out(self) -> None:
        """Write as much as the reader takes."""
        self.ordinary = 0
        if self.dropped and len(self.waiting) < MAX_WAITING_LINES:
            count, self.dropped = self.dropped, 0
            self.event("lines_dropped", count=count)
        self.rest += b"".join(self.waiting)
        self.waiting.clear()
        if not self.rest:
            return
        try:
            written = os.write(self.descriptor, self.rest)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more; there is nowhere to say so.
            written = len(self.rest)
        self.rest = self.rest[written:]
        if len(self.rest) > MAX_WAITING_LINES * 200:
            self.dropped += self.rest.count(b"\n")
            self.rest = b""
