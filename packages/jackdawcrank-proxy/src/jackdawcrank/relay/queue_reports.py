"""Writes the waits and refusals at each server to the decision log."""

from collections.abc import Callable, Iterable

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.relay.directory import Directory
from jackdawcrank.relay.queue_statistics import (
    SHOWN_ACCOUNTS,
    Key,
    QueueCount,
    activity,
    merge_accounts,
)
from jackdawcrank.timer.subscription import Subscription
from jackdawcrank.timer.timer import Timer

REPORT_SECONDS = 5.0
# A tenth of the log's buffer, which lines about failures need, too. A home of
# 4 groups with 3 servers each stays below it unless all 12 servers are full.
MAX_DETAILED_LINES = 200

Report = tuple[ConnectionPool, dict[Key, QueueCount]]


class QueueReports:
    """Writes `server_queue` lines for servers with waits or refusals.

    Attributes:
      pools: Returns the pools of all servers.
      log: Receives the lines.
      last_pools: The pools of the last report. Those that have been retired
        since are reported once more.
      subscription: The timer's subscription; None before the start.
    """

    def __init__(
        self, pools: Callable[[], Iterable[ConnectionPool]], log: DecisionLog
    ) -> None:
        self.pools = pools
        self.log = log
        self.last_pools: list[ConnectionPool] = []
        self.subscription: Subscription | None = None

    async def start(self, timer: Timer) -> None:
        """Start to report.

        Args:
          timer: Schedules the reports.
        """
        self.subscription = timer.subscribe(
            "queue reports", REPORT_SECONDS, self.tick
        )

    async def close(self) -> None:
        """Stop, and report what was counted since the last report."""
        if self.subscription:
            self.subscription.close()
        self.report()

    async def tick(self, _now: float) -> None:
        """Report every server at which something waited or was refused.

        Args:
          _now: The timer's time in seconds; not used.
        """
        self.report()

    def report(self) -> None:
        """Write the lines of all servers, those of the busiest first.

        Once there are `MAX_DETAILED_LINES`, the accounts of the other servers
        are added up.
        """
        pools = list(self.pools())
        known = list(dict.fromkeys([*pools, *self.last_pools]))
        self.last_pools = pools
        reports: list[Report] = [
            (pool, counts)
            for pool in known
            if (counts := pool.queue_statistics.take())
        ]
        reports.sort(key=lambda one: -activity(one[1]))
        written = 0
        for pool, counts in reports:
            shown = SHOWN_ACCOUNTS if written < MAX_DETAILED_LINES else 0
            merged = merge_accounts(counts, shown)
            written += len(merged)
            self.write(pool, merged)

    def write(
        self, pool: ConnectionPool, counts: dict[Key, QueueCount]
    ) -> None:
        """Write the lines of one server."""
        for (priority, account), count in sorted(counts.items()):
            self.log.event(
                "server_queue",
                group=pool.server.group,
                server=pool.server.server_id,
                priority=priority,
                account=account,
                **count.fields(),
                places=round(pool.limiter.window.size, 1),
            )


def directory_pools(directory: Directory) -> Iterable[ConnectionPool]:
    """Return the pools of all servers of all groups.

    Args:
      directory: Holds the groups.
    """
    return [
        pool
        for group in directory.groups.values()
        for pool in group.pools.values()
    ]
