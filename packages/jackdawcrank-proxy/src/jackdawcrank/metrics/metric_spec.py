"""The declaration of a metric."""

import enum

import attrs


class MetricKind(enum.StrEnum):
    """How the values of a metric are aggregated."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"


@attrs.frozen
class MetricSpec:
    """Declaration of a metric.

    Attributes:
      name: Its name without the prefix.
      kind: How its values are aggregated.
      unit: The unit of its values.
      help: What it measures.
      alert: The condition that should alert operators; empty for none.
      per_group: Whether the name of a database group is appended.
    """

    name: str
    kind: MetricKind
    unit: str
    help: str
    alert: str = ""
    per_group: bool = False
