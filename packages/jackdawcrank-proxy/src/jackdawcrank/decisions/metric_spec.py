"""Specification of all counters and histograms of a proxy process."""

import attrs


@attrs.frozen
class MetricSpec:
    """One metric.

    Attributes:
      name: The name of the metric, with its unit.
      help: A description of the metric.
    """

    name: str
    help: str


EVENTS_TOTAL = MetricSpec(
    "jackdawcrank_events_total", "decision log events, by name"
)
ANSWERS_TOTAL = MetricSpec(
    "jackdawcrank_answers_total",
    "answers to callers, by database and outcome",
)
STORE_CALLS_TOTAL = MetricSpec(
    "jackdawcrank_store_calls_total",
    "calls to the metadata store, by operation, table and outcome",
)
ACCOUNT_OPERATIONS_TOTAL = MetricSpec(
    "jackdawcrank_account_operations_total",
    "operations by client account and outcome: `admitted`, `limited`, "
    "`unproven` or `unknown_key`; the 20 accounts with most operations by "
    "name, the rest under `others`, unknown keys under an empty name",
)
COUNTERS = (
    EVENTS_TOTAL,
    ANSWERS_TOTAL,
    STORE_CALLS_TOTAL,
    ACCOUNT_OPERATIONS_TOTAL,
)
ANSWER_SECONDS = MetricSpec(
    "jackdawcrank_answer_seconds",
    "seconds from a statement to its answer, by database",
)
WAIT_ERROR_SECONDS = MetricSpec(
    "jackdawcrank_wait_error_seconds",
    "difference between the expected and the actual wait of a statement for its "
    "turn on a server, by whether the wait was longer or shorter than expected",
)
HISTOGRAMS = (ANSWER_SECONDS, WAIT_ERROR_SECONDS)
