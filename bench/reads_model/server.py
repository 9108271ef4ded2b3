"""A backend server with slots."""

import heapq

import attrs

from jackdawcrank_policy.values import Position, ServerReport, ServerRole
from reads_model.replication import Lag, Log

TERM = 1


@attrs.define
class Server:
    """A server that runs statements in the order in which they come.

    Attributes:
      name: The server's name.
      region: The region that it stands in.
      log: The group's log.
      lag: How the server follows the log; None for the primary.
      free_at: When each slot is free.
    """

    name: str
    region: int
    log: Log
    lag: Lag | None
    free_at: list[float]

    def run(self, now: float, service: float) -> tuple[float, float]:
        """Take a slot; return when the statement starts and ends."""
        start = max(now, heapq.heappop(self.free_at))
        heapq.heappush(self.free_at, start + service)
        return start, start + service

    def offset(self, now: float) -> int:
        """Return how many entries are applied at a time."""
        horizon = now if self.lag is None else self.lag.horizon(now)
        return self.log.offset_at(horizon)

    def report(self, now: float) -> ServerReport:
        """Return the answer to a probe at a time."""
        primary = self.lag is None
        role = ServerRole.PRIMARY if primary else ServerRole.REPLICA
        position = Position(TERM, self.offset(now))
        return ServerReport(self.name, TERM, role, position, True)
