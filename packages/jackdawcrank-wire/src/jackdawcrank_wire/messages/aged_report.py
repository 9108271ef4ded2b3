"""A backend server's report with its age."""

import attrs

from jackdawcrank_policy.values import ServerReport


@attrs.frozen
class AgedReport:
    """What a backend server said of itself some time ago.

    Attributes:
      report: The report.
      age_seconds: The time since before the probe was sent, measured by the
        observer when it sent this message.
    """

    report: ServerReport
    age_seconds: float
