"""The coordinator's view of a group's replicas."""

import attrs

from jackdawcrank_wire.messages.aged_report import AgedReport


@attrs.frozen
class ReplicaPositions:
    """Tells a home proxy how far a group's servers are.

    Attributes:
      group: The database group.
      reports: The newest report of each server.
    """

    group: str
    reports: tuple[AgedReport, ...] = ()
