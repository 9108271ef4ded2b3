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
COUNTERS = (EVENTS_TOTAL, ANSWERS_TOTAL)
ANSWER_SECONDS = MetricSpec(
    "jackdawcrank_answer_seconds",
    "seconds from a statement to its answer, by database",
)
HISTOGRAMS = (ANSWER_SECONDS,)
