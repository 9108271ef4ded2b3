"""Result of a probe of a backend server."""

import attrs

from jackdawcrank_policy.values import ServerReport


@attrs.frozen
class ProbeResult:
    """Result of one probe.

    Attributes:
      server: The server's name.
      sent_at: When it was sent, in seconds.
      ended_at: When it was answered or timed out, in seconds.
      report: The server's report, or None if the probe failed.
      refused: Whether the host promptly refused the connection.
      alive: Whether the server runs, although it returned no report.
    """

    server: str
    sent_at: float
    ended_at: float
    report: ServerReport | None
    refused: bool = False
    alive: bool = False
