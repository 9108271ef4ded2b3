"""Table of metrics for the operators' page."""

from jackdawcrank.metrics.metric_spec import MetricSpec
from jackdawcrank.metrics.names import METRICS

BEGIN = "<!-- metrics begin -->"
END = "<!-- metrics end -->"
HEADER = "| metric | kind | unit | meaning | alert |\n|---|---|---|---|---|\n"


def metrics_table() -> str:
    """Return the table of every metric in Markdown."""
    return HEADER + "".join(map(metrics_row, METRICS))


def metrics_row(spec: MetricSpec) -> str:
    """Return a metric's row of the table.

    Args:
      spec: The metric.
    """
    name = f"{spec.name}.GROUP" if spec.per_group else spec.name
    alert = spec.alert or "-"
    return f"| `{name}` | {spec.kind} | {spec.unit} | {spec.help} | {alert} |\n"


if __name__ == "__main__":
    print(metrics_table(), end="")
