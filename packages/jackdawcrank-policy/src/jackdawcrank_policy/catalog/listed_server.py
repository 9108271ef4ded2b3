"""The latest report of a backend server."""

import attrs


@attrs.frozen
class ListedServer:
    """A process of a backend server, as it last reported itself.

    Attributes:
      server_id: Its unique name.
      group: The group that it belongs to.
      host: The host that it listens on.
      port: The port that it listens on.
      data_center: The data centre that it runs in.
      slots: The number of statements that it runs at once.
      leaving: Whether it accepts no new work because it is shutting down.
      reports_primary: Whether it reports that it is the primary.
      started_at_ms: Its start time in Unix milliseconds on its own clock;
        distinguishes processes with the same name.
      revision: The store's revision of the report; a later report has a
        higher one.
    """

    server_id: str
    group: str
    host: str
    port: int
    data_center: str
    slots: int
    leaving: bool
    reports_primary: bool
    started_at_ms: int
    revision: int

    def same_process(self, other: "ListedServer") -> bool:
        """Return whether two reports come from the same process.

        Args:
          other: Another report.
        """
        return (self.server_id, self.host, self.port, self.started_at_ms) == (
            other.server_id,
            other.host,
            other.port,
            other.started_at_ms,
        )
