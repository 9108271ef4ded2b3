"""The positions of a group's servers known to the coordinator."""

import attrs

from jackdawcrank_wire.messages.aged_report import AgedReport


@attrs.frozen
class ReplicaPositions:
    """Reports the log positions of a group's servers to a home proxy.

    Attributes:
      group: The name of the database group.
      reports: The newest status report of each server.
    """

    group: str
    reports: tuple[AgedReport, ...] = ()
