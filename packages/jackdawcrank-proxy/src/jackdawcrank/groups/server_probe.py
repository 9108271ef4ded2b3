"""Periodic probes of one backend server."""

import asyncio
from collections.abc import Callable

from jackdawcrank.backend.server_control import ServerControl, Unreachable
from jackdawcrank.groups.probe_result import ProbeResult
from jackdawcrank.tasks import cancel_and_wait
from jackdawcrank.timer import Subscription, Timer
from jackdawcrank_policy.detection import (
    PROBE_TIMEOUT_SECONDS,
    RETRY_PROBE_TIMEOUT_SECONDS,
)
from jackdawcrank_policy.values import ServerReport

MIN_PAUSE_SECONDS = 0.02
REFUSED_WITHIN_SECONDS = 0.1
TOO_MANY_CONNECTIONS = "1040"

ResultCallback = Callable[[ProbeResult], None]


class ServerProbe:
    """Probes one server periodically; the interval may be changed.

    Attributes:
      server: The server.
      interval_seconds: The time between the starts of two probes.
      latest: The latest result; None before the first.
    """

    def __init__(
        self,
        server: ServerControl,
        interval_seconds: float,
        timer: Timer,
        on_result: ResultCallback,
    ) -> None:
        self.server = server
        self.interval_seconds = interval_seconds
        self.timer = timer
        self.on_result = on_result
        self.latest: ProbeResult | None = None
        self.running: asyncio.Task[ProbeResult] | None = None
        self.next_call: Subscription | None = None
        self.closed = False

    def start(self) -> None:
        """Start probing."""
        self.schedule(0.0)

    def stop(self) -> None:
        """Schedule no further probe and report no further result."""
        self.closed = True
        if self.next_call is not None:
            self.next_call.close()

    async def close(self) -> None:
        """Stop probing and cancel a running probe."""
        self.stop()
        if self.running is not None:
            await cancel_and_wait([self.running])

    def set_interval(self, interval_seconds: float) -> None:
        """Change the interval; a shorter one also brings a probe forward.

        Args:
          interval_seconds: The new interval, in seconds.
        """
        if interval_seconds == self.interval_seconds:
            return
        shorter = interval_seconds < self.interval_seconds
        self.interval_seconds = interval_seconds
        if shorter and self.running is None and not self.closed:
            self.schedule(MIN_PAUSE_SECONDS)

    async def probe(self) -> ProbeResult:
        """Probe now, or wait for the running probe."""
        if self.running is None:
            self.running = asyncio.create_task(self.probe_and_reschedule())
        return await asyncio.shield(self.running)

    def schedule(self, delay_seconds: float) -> None:
        """Schedule the next probe, replacing the one scheduled before."""
        if self.next_call is not None:
            self.next_call.close()
        self.next_call = self.timer.call_later(delay_seconds, self.tick)

    async def tick(self, now: float) -> None:
        """Probe after the interval has elapsed."""
        if not self.closed:
            await self.probe()

    async def probe_and_reschedule(self) -> ProbeResult:
        """Probe once and schedule the next probe."""
        sent_at = self.timer.now()
        answer = await self.server.probe(self.timeout_seconds())
        ended_at = self.timer.now()
        self.running = None
        result = self.read(answer, sent_at, ended_at)
        self.latest = result
        if not self.closed:
            pause = self.interval_seconds - (ended_at - sent_at)
            self.schedule(max(pause, MIN_PAUSE_SECONDS))
            self.on_result(result)
        return result

    def timeout_seconds(self) -> float:
        """Return the next probe's timeout, which is longer after a failure.

        A slow server can then answer the second probe, and a dead one is
        detected as fast as with three short timeouts.
        """
        if self.latest is None or self.latest.report is not None:
            return PROBE_TIMEOUT_SECONDS
        return RETRY_PROBE_TIMEOUT_SECONDS

    def read(
        self,
        answer: ServerReport | Unreachable,
        sent_at: float,
        ended_at: float,
    ) -> ProbeResult:
        """Convert a server's answer to a result."""
        name = self.server.name
        if isinstance(answer, Unreachable):
            full = TOO_MANY_CONNECTIONS in answer.detail
            quick = ended_at - sent_at < REFUSED_WITHIN_SECONDS
            return ProbeResult(
                name, sent_at, ended_at, None, quick and not full, full
            )
        return ProbeResult(name, sent_at, ended_at, answer)
