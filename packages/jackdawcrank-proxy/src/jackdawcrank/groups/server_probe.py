"""The regular probes of one backend server."""

import asyncio
from collections.abc import Callable

from jackdawcrank.backend.server_control import ServerControl, Unreachable
from jackdawcrank.groups.probe_result import ProbeResult
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
    """Probes one server at an interval that may change at any time.

    Attributes:
      server: The server.
      interval_seconds: The time from one probe to the next.
      latest: The newest result.
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
        """Begin to probe."""
        self.schedule(0.0)

    def stop(self) -> None:
        """Plan no further probe and report no result."""
        self.closed = True
        if self.next_call is not None:
            self.next_call.close()

    async def close(self) -> None:
        """Stop probing and cancel a probe under way."""
        self.stop()
        if self.running is not None:
            self.running.cancel()
            await asyncio.gather(self.running, return_exceptions=True)

    def set_interval(self, interval_seconds: float) -> None:
        """Change the interval; the next probe is at most that far away.

        Args:
          interval_seconds: The new interval.
        """
        if interval_seconds == self.interval_seconds:
            return
        shorter = interval_seconds < self.interval_seconds
        self.interval_seconds = interval_seconds
        if shorter and self.running is None and not self.closed:
            self.schedule(MIN_PAUSE_SECONDS)

    async def probe(self) -> ProbeResult:
        """Probe now, or wait for the probe that is under way."""
        if self.running is None:
            self.running = asyncio.create_task(self.probe_and_reschedule())
        return await asyncio.shield(self.running)

    def schedule(self, delay_seconds: float) -> None:
        """Plan the next probe in place of the one planned before."""
        if self.next_call is not None:
            self.next_call.close()
        self.next_call = self.timer.call_later(delay_seconds, self.tick)

    async def tick(self, now: float) -> None:
        """Probe because the interval has passed."""
        if not self.closed:
            await self.probe()

    async def probe_and_reschedule(self) -> ProbeResult:
        """Probe once and plan the next probe."""
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
        """Return the next probe's deadline, longer after a missed one.

        A slow server then answers the second probe, while a dead one is
        found as soon as by three short deadlines.
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
        """Return an answer as a result."""
        name = self.server.name
        if isinstance(answer, Unreachable):
            full = TOO_MANY_CONNECTIONS in answer.detail
            quick = ended_at - sent_at < REFUSED_WITHIN_SECONDS
            return ProbeResult(
                name, sent_at, ended_at, None, quick and not full, full
            )
        return ProbeResult(name, sent_at, ended_at, answer)
