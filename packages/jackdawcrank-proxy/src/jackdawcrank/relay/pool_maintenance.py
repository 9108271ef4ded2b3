"""Looking after idle connections."""

from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.relay.directory import Directory
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.timer.subscription import Subscription
from jackdawcrank.timer.timer import Timer
from jackdawcrank_policy.placement import Distance

# Idle connections are few and cheap; once a second is soon enough.
MAINTENANCE_SECONDS = 1.0


class PoolMaintenance:
    """Opens connections ahead of use and closes those nobody needs.

    Attributes:
      directory: The groups.
    """

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        self.subscription: Subscription | None = None

    async def start(self, timer: Timer) -> None:
        """Begin to look after the connections.

        Args:
          timer: Calls back.
        """
        self.subscription = timer.subscribe(
            "lanes", MAINTENANCE_SECONDS, self.maintain
        )

    async def maintain(self, _now: float) -> None:
        """Look at every lane.

        Args:
          _now: The timer's time.
        """
        for group in self.directory.groups.values():
            for pool in group.pools.values():
                pool.limit = group.connection_limit()
                pool.limiter.window.max_size = pool.limit
                if not group.homes.is_home(group.group):
                    # From the time when it took itself for a home.
                    pool.close_idle_links()
                pool.trim(self.idle_target(group, pool))

    def idle_target(self, group: GroupRelay, pool: ConnectionPool) -> int:
        """Return how many idle connections to keep.

        Args:
          group: The lane's group.
          pool: The lane.
        """
        if pool.server.leaving:
            return 0
        if pool is group.primary_pool():
            return 1
        distance = group.proxy_location.distance(pool.server.data_center)
        return 0 if distance is Distance.ELSEWHERE else 1
