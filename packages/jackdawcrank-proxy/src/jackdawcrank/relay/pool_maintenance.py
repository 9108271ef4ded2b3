"""Periodic maintenance of connection pools."""

from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.relay.directory import Directory
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.timer.subscription import Subscription
from jackdawcrank.timer.timer import Timer
from jackdawcrank_policy.placement import Distance

# Idle connections are few and cheap, so a short interval has no benefit.
MAINTENANCE_SECONDS = 1.0


class PoolMaintenance:
    """Updates the limits of all pools and closes surplus connections.

    Attributes:
      directory: Provides the groups and their pools.
    """

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        self.subscription: Subscription | None = None

    async def start(self, timer: Timer) -> None:
        """Start periodic maintenance.

        Args:
          timer: Schedules the maintenance runs.
        """
        self.subscription = timer.subscribe(
            "lanes", MAINTENANCE_SECONDS, self.maintain
        )

    async def maintain(self, _now: float) -> None:
        """Update the limit of each pool and close surplus connections.

        Args:
          _now: The timer's time in seconds.
        """
        declarations = self.directory.declarations
        accounts = (declarations and declarations.accounts) or {}
        for group in self.directory.groups.values():
            for pool in group.pools.values():
                pool.limit = group.connection_limit()
                pool.limiter.window.max_size = pool.limit
                if not group.homes.is_home(group.group):
                    # They were opened while this proxy was a home of the group.
                    pool.close_idle_connections()
                if declarations is not None:
                    pool.close_undeclared(accounts)
                pool.trim(self.idle_target(group, pool))

    def idle_target(self, group: GroupRelay, pool: ConnectionPool) -> int:
        """Return the number of idle connections to keep.

        Args:
          group: The pool's group.
          pool: The pool.
        """
        if pool.server.leaving:
            return 0
        if pool is group.primary_pool():
            return 1
        distance = group.proxy_location.distance(pool.server.data_center)
        return 0 if distance is Distance.ELSEWHERE else 1
