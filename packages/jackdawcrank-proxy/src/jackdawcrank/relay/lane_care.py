"""Looking after idle connections."""

from jackdawcrank.relay.directory import Directory
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.relay.server_lane import ServerLane
from jackdawcrank.timer.subscription import Subscription
from jackdawcrank.timer.timer import Timer
from jackdawcrank_policy.placement import Distance

# Idle connections are few and cheap; once a second is soon enough.
CARE_SECONDS = 1.0


class LaneCare:
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
        self.subscription = timer.subscribe("lanes", CARE_SECONDS, self.care)

    async def care(self, _now: float) -> None:
        """Look at every lane.

        Args:
          _now: The timer's time.
        """
        for group in self.directory.groups.values():
            for lane in group.lanes.values():
                lane.limit = group.connection_limit()
                lane.gate.window.max_size = lane.limit
                if not group.homes.is_home(group.group):
                    # From the time when it took itself for a home.
                    lane.drop_idle()
                lane.trim(self.wanted(group, lane))

    def wanted(self, group: GroupRelay, lane: ServerLane) -> int:
        """Return how many idle connections to keep.

        Args:
          group: The lane's group.
          lane: The lane.
        """
        if lane.server.leaving:
            return 0
        if lane is group.primary_lane():
            return 1
        near = group.whereabouts.distance(lane.server.data_center)
        return 0 if near is Distance.ELSEWHERE else 1
