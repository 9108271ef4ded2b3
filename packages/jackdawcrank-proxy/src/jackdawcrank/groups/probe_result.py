"""The result of one probe of a backend server."""

import attrs

from jackdawcrank_policy.values import ServerReport


@attrs.frozen
class ProbeResult:
    """What became of one probe.

    Attributes:
      server: The server's name.
      sent_at: When it was sent, in seconds.
      ended_at: When it was answered or given up.
      report: The server's report; None if none came.
      refused: Whether the server's host answered and refused at once.
      alive: Whether the answer shows a running server without a report.
    """

    server: str
    sent_at: float
    ended_at: float
    report: ServerReport | None
    refused: bool = False
    alive: bool = False
