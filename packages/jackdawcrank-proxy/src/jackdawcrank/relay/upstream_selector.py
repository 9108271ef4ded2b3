"""Selection of the upstream VMs that relay store changes to this VM."""

import math
from collections.abc import Iterable

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.home_router import HomeRouter
from jackdawcrank.relay.home_stream import HomeStream
from jackdawcrank.relay.member_rows import MemberRows
from jackdawcrank.relay.table_follower import TableFollower
from jackdawcrank.timer.subscription import Subscription
from jackdawcrank.timer.timer import Timer
from jackdawcrank_policy.homes import (
    MAX_UPSTREAMS,
    MIN_UPSTREAMS,
    Member,
    lower_vms,
    upstream_vms,
)

# A lost upstream VM is replaced within this interval; until then this process
# follows the store.
CHECK_SECONDS = 0.5
# Two heartbeat intervals, plus half an interval for delivery.
HEARTBEAT_TIMEOUT_SECONDS = 1.25
# A VM that sends no heartbeat in this time after a subscription relies on
# upstream VMs itself and cannot serve as one.
SUBSCRIBE_TIMEOUT_SECONDS = 1.0


class UpstreamSelector:
    """Subscribes to tables at enough upstream VMs.

    Attributes:
      router: Holds the streams to other VMs.
      members: Holds the known VMs.
      followers: The followers of the store's tables.
      relayed_tables: The tables whose changes upstream VMs now relay.
      cached_members: The members from which `cached_upstreams` was computed.
      cached_upstreams: The result of `upstreams`.
      subscription: The timer's subscription; None before the start.
    """

    def __init__(
        self,
        router: HomeRouter,
        members: MemberRows,
        followers: Iterable[TableFollower],
        log: DecisionLog,
    ) -> None:
        self.router = router
        self.members = members
        self.followers = tuple(followers)
        self.log = log
        self.relayed_tables: set[str] = set()
        self.cached_members: dict[str, Member] = {}
        self.cached_upstreams: tuple[Member, ...] = ()
        self.subscription: Subscription | None = None
        for follower in self.followers:
            follower.has_upstreams = self.has_upstreams
            follower.expects_upstreams = self.expects_upstreams
            follower.upstreams_connected = self.upstreams_connected

    async def start(self, timer: Timer) -> None:
        """Start to select upstream VMs.

        Args:
          timer: Schedules the checks.
        """
        self.subscription = timer.subscribe(
            "contacts", CHECK_SECONDS, self.check
        )

    async def close(self) -> None:
        """Stop selecting upstream VMs."""
        if self.subscription:
            self.subscription.close()

    def upstreams(self) -> tuple[Member, ...]:
        """Return the possible upstream VMs, best ranked first."""
        members = self.members.members
        if members is not self.cached_members:
            self.cached_members = members
            candidates = upstream_vms(self.members.own, members.values())
            self.cached_upstreams = candidates[:MAX_UPSTREAMS]
        return self.cached_upstreams

    def streams(self) -> list[HomeStream]:
        """Return the open streams to possible upstream VMs."""
        found = (self.router.stream_to(one.vm) for one in self.upstreams())
        return [one for one in found if one is not None]

    def has_upstreams(self, table: str) -> bool:
        """Return whether enough upstream VMs relay a table's changes.

        Args:
          table: The table's name.
        """
        live_streams = [
            one
            for one in self.streams()
            if one.relays_changes(table, HEARTBEAT_TIMEOUT_SECONDS)
        ]
        return len(live_streams) >= MIN_UPSTREAMS

    def expects_upstreams(self) -> bool:
        """Return whether enough upstream VMs may be found."""
        return (
            not self.members.complete or len(self.upstreams()) >= MIN_UPSTREAMS
        )

    def upstreams_connected(self) -> bool:
        """Return whether there are open streams to enough upstream VMs."""
        usable = [one for one in self.streams() if not one.leaving]
        return len(usable) >= MIN_UPSTREAMS

    async def check(self, _now: float) -> None:
        """Subscribe at more upstream VMs if too few relay the tables.

        Args:
          _now: The timer's time in seconds; not used.
        """
        tables = {one.table for one in self.followers if one.needed()}
        self.log_relayed_tables(tables)
        usable = 0
        for member in (*self.upstreams(), *self.witnesses()):
            if usable >= MIN_UPSTREAMS:
                return
            stream = await self.router.connected_stream(member)
            if stream is None or stream.leaving:
                continue
            stream.subscribe(tables)
            usable += self.usable(stream, tables)

    def witnesses(self) -> tuple[Member, ...]:
        """Return more VMs that may prove the age of what this one knows.

        There are none while the store answers, or if no age must be proven.
        """
        if not any(
            math.isfinite(one.longest_wait_seconds) and one.store_health.lost
            for one in self.followers
        ):
            return ()
        members = self.members.members.values()
        return lower_vms(self.members.own, members)[:MAX_UPSTREAMS]

    def usable(self, stream: HomeStream, tables: set[str]) -> bool:
        """Return whether a VM sends heartbeats or was just subscribed to."""
        now = self.router.loop.time()
        if now - stream.subscribed_at < SUBSCRIBE_TIMEOUT_SECONDS:
            return True
        return all(
            stream.relays_changes(one, HEARTBEAT_TIMEOUT_SECONDS)
            for one in tables
        )

    def log_relayed_tables(self, tables: set[str]) -> None:
        """Log a change of the tables that upstream VMs relay."""
        relayed_tables = {one for one in tables if self.has_upstreams(one)}
        if relayed_tables != self.relayed_tables:
            self.relayed_tables = relayed_tables
            self.log.event("relies_on_others", tables=sorted(relayed_tables))
