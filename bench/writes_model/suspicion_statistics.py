"""Statistics that grow while a primary is silent."""

import collections
import math
import statistics
from typing import Protocol

import attrs

CAP_SECONDS = 4.0
FAILED_SECONDS = 4.0
INTERVALS = 200
MIN_DEVIATION_SECONDS = 0.02
MIN_LOG_DEVIATION = 0.3


@attrs.frozen
class Calibration:
    """What probes of a primary look like before a failure.

    Attributes:
      mean: The mean of the logarithm of the latency in seconds.
      deviation: Its standard deviation.
    """

    mean: float
    deviation: float

    @classmethod
    def of(cls, latencies: list[float]) -> "Calibration":
        """Return the calibration of answered probes' latencies."""
        logs = [math.log(min(one, CAP_SECONDS)) for one in latencies]
        deviation = max(statistics.pstdev(logs), MIN_LOG_DEVIATION)
        return cls(statistics.fmean(logs), deviation)

    def log_ratio(self, latency: float) -> float:
        """Return the log likelihood ratio of a failure to no failure."""
        shifted = math.log(FAILED_SECONDS)
        value = math.log(max(min(latency, CAP_SECONDS), 1e-4))
        middle = (shifted + self.mean) / 2
        return (shifted - self.mean) / self.deviation**2 * (value - middle)


class Statistic(Protocol):
    """A statistic that is compared with a threshold."""

    def answered(self, sent_at: float, latency: float) -> None:
        """Take an answer."""

    def missed(self) -> None:
        """Take a probe that was given up after `CAP_SECONDS`."""

    def value(self, now: float, waiting: list[float]) -> float:
        """Return the statistic.

        Args:
          now: The present time, in seconds.
          waiting: When each unanswered probe was sent.
        """


@attrs.define
class Silence:
    """The time since the newest answered probe was sent."""

    newest: float = 0.0

    def answered(self, sent_at: float, latency: float) -> None:
        """Take an answer."""
        self.newest = max(self.newest, sent_at)

    def missed(self) -> None:
        """Ignore a probe that was given up; the silence goes on."""

    def value(self, now: float, waiting: list[float]) -> float:
        """Return the silence in seconds."""
        return now - self.newest


@attrs.define
class Accrual:
    """How unlikely the silence is after the newest answers' intervals."""

    newest: float = 0.0
    intervals: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque([0.25], maxlen=INTERVALS)
    )
    total: float = 0.25
    squares: float = 0.0625

    def answered(self, sent_at: float, latency: float) -> None:
        """Take an answer."""
        now = sent_at + latency
        interval = max(0.0, now - self.newest)
        self.newest = max(self.newest, now)
        if len(self.intervals) == INTERVALS:
            oldest = self.intervals[0]
            self.total -= oldest
            self.squares -= oldest**2
        self.intervals.append(interval)
        self.total += interval
        self.squares += interval**2

    def missed(self) -> None:
        """Ignore a probe that was given up; the interval goes on."""

    def value(self, now: float, waiting: list[float]) -> float:
        """Return the negative decimal logarithm of the probability."""
        count = len(self.intervals)
        mean = self.total / count
        variance = max(self.squares / count - mean**2, 0.0)
        deviation = max(math.sqrt(variance), MIN_DEVIATION_SECONDS)
        distance = (now - self.newest - mean) / deviation
        if distance > 30:
            return distance**2 / 2 / math.log(10)
        tail = 0.5 * math.erfc(distance / math.sqrt(2))
        return -math.log10(max(tail, 1e-300))


@attrs.define
class Cusum:
    """The cumulative sum of log likelihood ratios, never below 0."""

    calibration: Calibration
    total: float = 0.0

    def answered(self, sent_at: float, latency: float) -> None:
        """Take an answer."""
        ratio = self.calibration.log_ratio(latency)
        self.total = max(0.0, self.total + ratio)

    def missed(self) -> None:
        """Take a given-up probe as an answer after `CAP_SECONDS`."""
        self.answered(0.0, CAP_SECONDS)

    def value(self, now: float, waiting: list[float]) -> float:
        """Return the sum with the probes that wait counted as they stand."""
        total = self.total
        for sent_at in waiting:
            total += max(0.0, self.calibration.log_ratio(now - sent_at))
        return total


@attrs.define
class ShiryaevRoberts:
    """The logarithm of the Shiryaev-Roberts statistic."""

    calibration: Calibration
    logarithm: float = -math.inf

    def answered(self, sent_at: float, latency: float) -> None:
        """Take an answer."""
        ratio = self.calibration.log_ratio(latency)
        self.logarithm = min(_log_one_more(self.logarithm) + ratio, 700.0)

    def missed(self) -> None:
        """Take a given-up probe as an answer after `CAP_SECONDS`."""
        self.answered(0.0, CAP_SECONDS)

    def value(self, now: float, waiting: list[float]) -> float:
        """Return it with the probes that wait counted as they stand."""
        logarithm = self.logarithm
        for sent_at in waiting:
            ratio = self.calibration.log_ratio(now - sent_at)
            if ratio > 0:
                logarithm = _log_one_more(logarithm) + ratio
        return logarithm


def _log_one_more(logarithm: float) -> float:
    """Return log(1 + exp(x)) without overflow."""
    if logarithm > 30:
        return logarithm
    return math.log1p(math.exp(logarithm))
