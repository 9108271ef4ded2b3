"""Collection of metrics and their export to statsd."""

import collections
import collections.abc
import itertools
import re

import attrs
import statsd

from jackdawcrank.metrics.metric_spec import MetricSpec

FLUSH_INTERVAL_SECONDS = 10.0
MAX_SAMPLES = 100
MAX_LINES_PER_FLUSH = 400
MAX_DATAGRAM_BYTES = 1400
MILLISECONDS_PER_SECOND = 1000
UNSAFE_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")

Key = tuple[MetricSpec, str]


@attrs.define
class TimingTotals:
    """Totals of a timing metric since the start, and its recent samples.

    Attributes:
      count: The number of values since the start.
      total_ms: Their sum in milliseconds.
      max_ms: The greatest value in milliseconds.
      samples: Values since the last flush, at most `MAX_SAMPLES`.
    """

    count: int = 0
    total_ms: float = 0.0
    max_ms: float = 0.0
    samples: list[float] = attrs.field(factory=list)

    def add(self, value_ms: float) -> None:
        """Add a value.

        Args:
          value_ms: The value in milliseconds.
        """
        self.count += 1
        self.total_ms += value_ms
        self.max_ms = max(self.max_ms, value_ms)
        if len(self.samples) < MAX_SAMPLES:
            self.samples.append(value_ms)


class Metrics:
    """Aggregates metrics in memory and sends changes on each flush.

    One flush sends a bounded number of lines, so that the traffic does not
    grow with the number of groups. Counters and gauges that do not fit are
    sent by a later flush; timing samples that do not fit are dropped. Without
    a statsd host nothing is sent, but the values remain available to the
    status page.
    """

    def __init__(
        self,
        host: str | None = None,
        port: int = 8125,
        prefix: str = "jackdawcrank",
    ) -> None:
        self.host = host
        self.port = port
        self.prefix = prefix
        self.client: statsd.StatsClient | None = None
        self.counters: collections.Counter[Key] = collections.Counter()
        self.unsent: collections.Counter[Key] = collections.Counter()
        self.gauges: dict[Key, float] = {}
        # Used as an ordered set: the keys in the order in which they changed.
        self.changed_gauges: dict[Key, None] = {}
        self.timings: dict[Key, TimingTotals] = {}

    async def start(self) -> None:
        """Open the socket to statsd, if a host is set."""
        if self.host:
            self.client = statsd.StatsClient(
                self.host,
                self.port,
                prefix=self.prefix,
                maxudpsize=MAX_DATAGRAM_BYTES,
            )

    def count(self, spec: MetricSpec, value: int = 1, group: str = "") -> None:
        """Add to a counter.

        Args:
          spec: The metric.
          value: The amount to add.
          group: The database group, for metrics that are per group.
        """
        self.counters[spec, group] += value
        self.unsent[spec, group] += value

    def gauge(self, spec: MetricSpec, value: float, group: str = "") -> None:
        """Set a gauge.

        Args:
          spec: The metric.
          value: The current value.
          group: The database group, for metrics that are per group.
        """
        key = (spec, group)
        if self.gauges.get(key) != value:
            self.gauges[key] = value
            self.changed_gauges[key] = None

    def timing(self, spec: MetricSpec, seconds: float, group: str = "") -> None:
        """Add a duration.

        Args:
          spec: The metric.
          seconds: The duration in seconds.
          group: The database group, for metrics that are per group.
        """
        totals = self.timings.setdefault((spec, group), TimingTotals())
        totals.add(seconds * MILLISECONDS_PER_SECOND)

    async def flush(self, now: float) -> None:
        """Send the changes since the last call; used as a timer callback.

        Args:
          now: The time on the timer's clock; not used.
        """
        del now
        if self.client:
            with self.client.pipeline() as pipeline:
                self.send(pipeline)
        for totals in self.timings.values():
            totals.samples.clear()

    def send(self, pipeline: "statsd.client.base.PipelineBase") -> None:
        """Write changes to a pipeline, up to `MAX_LINES_PER_FLUSH` lines.

        Args:
          pipeline: The statsd client's pipeline.
        """
        counters = list(self.unsent)[: MAX_LINES_PER_FLUSH // 2]
        for key in counters:
            pipeline.incr(metric_path(key), self.unsent.pop(key))
        gauges = list(self.changed_gauges)[: MAX_LINES_PER_FLUSH // 4]
        for key in gauges:
            del self.changed_gauges[key]
            pipeline.gauge(metric_path(key), self.gauges[key])
        remaining_lines = MAX_LINES_PER_FLUSH - len(counters) - len(gauges)
        for key, sample in itertools.islice(self.samples(), remaining_lines):
            pipeline.timing(metric_path(key), sample)

    def samples(self) -> collections.abc.Iterator[tuple[Key, float]]:
        """Yield timing samples, round-robin over metrics and groups."""
        rounds = itertools.zip_longest(
            *(
                [(key, sample) for sample in totals.samples]
                for key, totals in self.timings.items()
            )
        )
        for pairs in rounds:
            yield from (pair for pair in pairs if pair is not None)

    def snapshot(self) -> dict[str, float]:
        """Return the values since the start by metric path."""
        values: dict[str, float] = {}
        for key, count in self.counters.items():
            values[metric_path(key)] = count
        for key, gauge in self.gauges.items():
            values[metric_path(key)] = gauge
        for key, totals in self.timings.items():
            path = metric_path(key)
            values[f"{path}.count"] = totals.count
            values[f"{path}.mean"] = totals.total_ms / totals.count
            values[f"{path}.max"] = totals.max_ms
        return dict(sorted(values.items()))

    async def close(self) -> None:
        """Flush once more and close the socket."""
        await self.flush(0.0)
        if self.client:
            self.client.close()
            self.client = None


def metric_path(key: Key) -> str:
    """Return a metric's name without the prefix.

    Args:
      key: The metric and its group, if any.
    """
    spec, group = key
    if not group:
        return spec.name
    return f"{spec.name}.{UNSAFE_CHARACTERS.sub('_', group)}"
