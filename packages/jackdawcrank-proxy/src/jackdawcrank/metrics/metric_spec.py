"""The declaration of a metric."""

import enum

import attrs


class MetricKind(enum.StrEnum):
    """How a metric's values are combined."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"


@attrs.frozen
class MetricSpec:
    """One metric.

    Attributes:
      name: Its name below the prefix.
      kind: How its values are combined.
      unit: The unit of its values.
      help: What it says.
      alert: When operators should be woken; empty for never.
      per_group: Whether a database group's name follows the metric's.
    """

    name: str
    kind: MetricKind
    unit: str
    help: str
    alert: str = ""
    per_group: bool = False
