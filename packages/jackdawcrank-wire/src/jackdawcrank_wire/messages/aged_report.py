"""A status report of a backend server with its age."""

import attrs

from jackdawcrank_policy.values import ServerReport


@attrs.frozen
class AgedReport:
    """The result of a status probe of a backend server.

    Attributes:
      report: The status that the server reported.
      age_seconds: The age of the report in seconds, measured by the observer
        from just before it sent the probe until it sent this message.
    """

    report: ServerReport
    age_seconds: float
