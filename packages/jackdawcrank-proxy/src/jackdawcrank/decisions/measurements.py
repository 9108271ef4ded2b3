"""Counters and latency histograms of a proxy process."""

from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

from jackdawcrank.decisions.metric_spec import (
    ANSWER_SECONDS,
    ANSWERS_TOTAL,
    EVENTS_TOTAL,
    MetricSpec,
)

# From 1 ms to one minute with two significant digits: a resolution of 5% or
# better at 10 KB per histogram.
LOWEST_MS = 1
HIGHEST_MS = 60_000
DIGITS = 2
# Cover our users' latency objectives of 0.4 to 1 s and deadlines of 6 to 15 s.
BUCKETS_MS = (10, 25, 50, 100, 200, 400, 600, 800, 1_000, 2_000, 6_000, 15_000)
# Bounds the memory if databases are created and removed repeatedly.
MAX_DATABASES = 200
OTHERS = "others"


class Measurements:
    """Counts events and answers and records the latencies of answers.

    Attributes:
      events: Number of events by name.
      answers: Number of answers by database and outcome.
      seconds: Latency histograms by database, in milliseconds.
    """

    def __init__(self) -> None:
        self.events: dict[str, int] = {}
        self.answers: dict[tuple[str, str], int] = {}
        self.seconds: dict[str, HdrHistogram] = {}

    def event(self, name: str) -> None:
        """Count an event.

        Args:
          name: The name of the event.
        """
        self.events[name] = self.events.get(name, 0) + 1

    def answered(self, database: str, outcome: str, seconds: float) -> None:
        """Count an answer.

        Args:
          database: The database.
          outcome: `done` or a problem's name.
          seconds: The time from the statement to its answer.
        """
        histogram = self.seconds.get(database)
        if histogram is None:
            if len(self.seconds) >= MAX_DATABASES:
                database = OTHERS
            histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)
            histogram = self.seconds.setdefault(database, histogram)
        key = (database, outcome)
        self.answers[key] = self.answers.get(key, 0) + 1
        milliseconds = max(LOWEST_MS, round(seconds * 1_000))
        histogram.record_value(min(HIGHEST_MS, milliseconds))

    def page(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return "\n".join([*self.counter_lines(), *self.histogram_lines(), ""])

    def counter_lines(self) -> Iterator[str]:
        """Yield the lines of the counters."""
        yield from metric_header(EVENTS_TOTAL, "counter")
        for name, count in sorted(self.events.items()):
            yield f'{EVENTS_TOTAL.name}{{event="{name}"}} {count}'
        yield from metric_header(ANSWERS_TOTAL, "counter")
        for (database, outcome), count in sorted(self.answers.items()):
            labels = f'database="{escape(database)}",outcome="{outcome}"'
            yield f"{ANSWERS_TOTAL.name}{{{labels}}} {count}"

    def histogram_lines(self) -> Iterator[str]:
        """Yield the lines of the histograms."""
        yield from metric_header(ANSWER_SECONDS, "histogram")
        for database, histogram in sorted(self.seconds.items()):
            label = f'database="{escape(database)}"'
            recorded = [
                (one.value_iterated_to, one.count_added_in_this_iter_step)
                for one in histogram.get_recorded_iterator()
            ]
            for bound in BUCKETS_MS:
                count = sum(n for value, n in recorded if value <= bound)
                yield (
                    f"{ANSWER_SECONDS.name}_bucket"
                    f'{{{label},le="{bound / 1000}"}} {count}'
                )
            total = sum(count for _, count in recorded)
            total_seconds = (
                sum(value * count for value, count in recorded) / 1_000
            )
            yield (f'{ANSWER_SECONDS.name}_bucket{{{label},le="+Inf"}} {total}')
            yield f"{ANSWER_SECONDS.name}_sum{{{label}}} {total_seconds}"
            yield f"{ANSWER_SECONDS.name}_count{{{label}}} {total}"


def metric_header(metric: MetricSpec, kind: str) -> Iterator[str]:
    """Yield the `HELP` and `TYPE` lines of a metric.

    Args:
      metric: The metric.
      kind: `counter` or `histogram`.
    """
    yield f"# HELP {metric.name} {metric.help}"
    yield f"# TYPE {metric.name} {kind}"


def escape(label: str) -> str:
    """Return a label value escaped for use within double quotes.

    Args:
      label: The value; line feeds become spaces.
    """
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", " ")
