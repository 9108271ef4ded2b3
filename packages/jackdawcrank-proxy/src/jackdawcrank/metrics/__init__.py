"""Metrics of a proxy and their export to statsd."""

from jackdawcrank.metrics import names
from jackdawcrank.metrics.metric_spec import MetricKind, MetricSpec
from jackdawcrank.metrics.metrics import FLUSH_INTERVAL_SECONDS, Metrics
from jackdawcrank.metrics.names import METRICS

__all__ = [
    "FLUSH_INTERVAL_SECONDS",
    "METRICS",
    "MetricKind",
    "MetricSpec",
    "Metrics",
    "names",
]
