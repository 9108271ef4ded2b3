"""Counters and latency histograms of a proxy process."""

from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

from jackdawcrank.decisions.account_counts import AccountCounts
from jackdawcrank.decisions.metric_spec import (
    ACCOUNT_OPERATIONS_TOTAL,
    ANSWER_SECONDS,
    ANSWERS_TOTAL,
    EVENTS_TOTAL,
    STORE_CALLS_TOTAL,
    WAIT_ERROR_SECONDS,
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
# Labels of waits that were longer or shorter than expected.
LONGER = "longer"
SHORTER = "shorter"


class Measurements:
    """Counts events and answers and records the latencies of answers.

    Attributes:
      events: Number of events by name.
      answers: Number of answers by database and outcome.
      store_calls: Number of calls to the store by operation, table and outcome.
      accounts: Number of operations by client account and outcome.
      seconds: Latency histograms by database, in milliseconds.
      wait_errors: Histograms of the errors of estimated waits, in
        milliseconds, by whether the wait was longer or shorter.
    """

    def __init__(self) -> None:
        self.events: dict[str, int] = {}
        self.answers: dict[tuple[str, str], int] = {}
        self.store_calls: dict[tuple[str, str, str], int] = {}
        self.accounts = AccountCounts()
        self.seconds: dict[str, HdrHistogram] = {}
        self.wait_errors: dict[str, HdrHistogram] = {}

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
        record_seconds(histogram, seconds)

    def store_called(self, operation: str, table: str, failed: bool) -> None:
        """Count a call to the metadata store.

        Args:
          operation: `read`, `follow` or `write`.
          table: The table.
          failed: Whether there was no usable answer.
        """
        key = (operation, table, "failed" if failed else "done")
        self.store_calls[key] = self.store_calls.get(key, 0) + 1

    def account_operation(self, account: str, outcome: str) -> None:
        """Count an operation of a client account.

        Args:
          account: The account; empty if the key is unknown.
          outcome: `admitted`, `limited`, `unproven` or `unknown_key`.
        """
        self.accounts.add(account, outcome)

    def waited(self, expected: float, actual: float) -> None:
        """Record the wait of a statement for its turn on a server.

        Args:
          expected: The estimate when it began to wait, in seconds.
          actual: How long it waited, in seconds.
        """
        kind = LONGER if actual > expected else SHORTER
        histogram = self.wait_errors.get(kind)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)
            self.wait_errors[kind] = histogram
        record_seconds(histogram, abs(actual - expected))

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
        yield from metric_header(STORE_CALLS_TOTAL, "counter")
        for (operation, table, outcome), count in sorted(
            self.store_calls.items()
        ):
            labels = (
                f'operation="{operation}",table="{escape(table)}",'
                f'outcome="{outcome}"'
            )
            yield f"{STORE_CALLS_TOTAL.name}{{{labels}}} {count}"
        yield from metric_header(ACCOUNT_OPERATIONS_TOTAL, "counter")
        for account, outcome, count in self.accounts.series():
            labels = f'account="{escape(account)}",outcome="{outcome}"'
            yield f"{ACCOUNT_OPERATIONS_TOTAL.name}{{{labels}}} {count}"

    def histogram_lines(self) -> Iterator[str]:
        """Yield the lines of the histograms."""
        yield from metric_header(ANSWER_SECONDS, "histogram")
        for database, histogram in sorted(self.seconds.items()):
            label = f'database="{escape(database)}"'
            yield from series_lines(ANSWER_SECONDS, label, histogram)
        yield from metric_header(WAIT_ERROR_SECONDS, "histogram")
        for kind, histogram in sorted(self.wait_errors.items()):
            yield from series_lines(
                WAIT_ERROR_SECONDS, f'wait="{kind}"', histogram
            )


def record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Record a duration in a histogram of milliseconds.

    Args:
      histogram: The histogram.
      seconds: The duration.
    """
    milliseconds = max(LOWEST_MS, round(seconds * 1_000))
    histogram.record_value(min(HIGHEST_MS, milliseconds))


def series_lines(
    metric: MetricSpec, label: str, histogram: HdrHistogram
) -> Iterator[str]:
    """Yield the lines of one series of a histogram metric.

    Args:
      metric: The metric.
      label: The label of the series.
      histogram: The recorded milliseconds.
    """
    recorded = [
        (one.value_iterated_to, one.count_added_in_this_iter_step)
        for one in histogram.get_recorded_iterator()
    ]
    for bound in BUCKETS_MS:
        count = sum(n for value, n in recorded if value <= bound)
        yield f'{metric.name}_bucket{{{label},le="{bound / 1000}"}} {count}'
    total = sum(count for _, count in recorded)
    total_seconds = sum(value * count for value, count in recorded) / 1_000
    yield f'{metric.name}_bucket{{{label},le="+Inf"}} {total}'
    yield f"{metric.name}_sum{{{label}}} {total_seconds}"
    yield f"{metric.name}_count{{{label}}} {total}"


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
