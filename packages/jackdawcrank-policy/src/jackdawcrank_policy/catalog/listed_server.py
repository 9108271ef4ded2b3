"""A backend server as it last reported itself."""

import attrs


@attrs.frozen
class ListedServer:
    """One incarnation of a backend server.

    Attributes:
      server_id: Its name, which no other server has.
      group: The group that it belongs to.
      host: Where it listens.
      port: The port that it listens on.
      data_center: Where it stands.
      slots: Statements that it runs at once.
      leaving: Whether it takes no new work because it is shutting down.
      reports_primary: Whether it takes itself for the primary.
      started_at_ms: Its start, Unix milliseconds by its own clock; tells two
        incarnations with one name apart.
      revision: The store's version of the report; a later report has a
        greater one.
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
        """Return whether two reports come from one running process.

        Args:
          other: Another report.
        """
        return (self.server_id, self.host, self.port, self.started_at_ms) == (
            other.server_id,
            other.host,
            other.port,
            other.started_at_ms,
        )
